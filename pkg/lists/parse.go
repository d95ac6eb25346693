package lists

import (
	"errors"

	"teaselgauge.example/teaselgauge/pkg/schema"
)

// ParsePlans strictly decodes the plans document. Its error is a *CheckError.
func ParsePlans(data []byte) (Plans, error) {
	var plans Plans
	if err := schema.Decode(data, &plans); err != nil {
		return Plans{}, toCheckError("plans", err)
	}
	return plans, nil
}

// ParseAllowances strictly decodes the allowances document. Its error is a
// *CheckError.
func ParseAllowances(data []byte) (Allowances, error) {
	var allowances Allowances
	if err := schema.Decode(data, &allowances); err != nil {
		return Allowances{}, toCheckError("allowances", err)
	}
	return allowances, nil
}

// Parse decodes both documents and validates them together. Its error is a
// *CheckError with all problems of both.
func Parse(plansJSON, allowancesJSON []byte) (Plans, Allowances, error) {
	plans, plansErr := ParsePlans(plansJSON)
	allowances, allowancesErr := ParseAllowances(allowancesJSON)
	if plansErr != nil || allowancesErr != nil {
		return Plans{}, Allowances{}, joinProblems(plansErr, allowancesErr)
	}
	if err := Check(plans, allowances); err != nil {
		return Plans{}, Allowances{}, err
	}
	return plans, allowances, nil
}

// toCheckError prefixes the paths of a schema error with the document's name.
func toCheckError(document string, err error) error {
	var schemaErr *schema.Error
	if !errors.As(err, &schemaErr) {
		return err
	}
	problems := make([]schema.Problem, len(schemaErr.Problems))
	for i, problem := range schemaErr.Problems {
		problems[i] = schema.Problem{Path: joinPath(document, problem.Path), Message: problem.Message}
	}
	return &CheckError{Problems: problems}
}

func joinPath(document, path string) string {
	if path == "" {
		return document
	}
	return document + "." + path
}

// joinProblems merges the problems of several errors. It returns nil if there are
// none.
func joinProblems(errs ...error) error {
	var problems []schema.Problem
	for _, err := range errs {
		var checkErr *CheckError
		switch {
		case err == nil:
		case errors.As(err, &checkErr):
			problems = append(problems, checkErr.Problems...)
		default:
			problems = append(problems, schema.Problem{Message: err.Error()})
		}
	}
	if len(problems) == 0 {
		return nil
	}
	return &CheckError{Problems: problems}
}
