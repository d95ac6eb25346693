package schema

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// maxIdentifierBytes is the maximum length of an identifier.
const maxIdentifierBytes = 128

// validate is safe for concurrent use and caches the types it has validated.
var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	mustRegister(v, "identifier", func(field validator.FieldLevel) bool {
		return IsIdentifier(field.Field().String())
	})
	mustRegister(v, "ip_port", func(field validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(field.Field().String())
		return err == nil
	})
	return v
}

func mustRegister(v *validator.Validate, tag string, fn validator.Func) {
	if err := v.RegisterValidation(tag, fn); err != nil {
		panic(fmt.Sprintf("schema: register tag %q: %v", tag, err))
	}
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}

// IsIdentifier reports whether name consists of 1 to 128 letters, digits, dots,
// hyphens and underscores and starts with a letter or a digit. Names of hosts,
// plans, models and the like are identifiers; the separators "@" and ":" of model
// references are not allowed in them.
func IsIdentifier(name string) bool {
	if name == "" || len(name) > maxIdentifierBytes || !isAlphanumeric(name[0]) {
		return false
	}
	for i := range len(name) {
		if !isAlphanumeric(name[i]) && name[i] != '.' && name[i] != '-' && name[i] != '_' {
			return false
		}
	}
	return true
}

func isAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

// Validate checks a struct against its validation tags. It returns nil or an *Error
// with all problems.
func Validate(document any) error {
	err := validate.Struct(document)
	if err == nil {
		return nil
	}
	var fieldErrs validator.ValidationErrors
	if !errors.As(err, &fieldErrs) {
		return fmt.Errorf("schema: %w", err)
	}
	problems := make([]Problem, len(fieldErrs))
	for i, fieldErr := range fieldErrs {
		problems[i] = Problem{Path: path(fieldErr), Message: message(fieldErr)}
	}
	return &Error{Problems: problems}
}

// path returns the field's path without the name of the root type.
func path(fieldErr validator.FieldError) string {
	_, rest, _ := strings.Cut(fieldErr.Namespace(), ".")
	return rest
}

func message(fieldErr validator.FieldError) string {
	if fieldErr.Tag() == "required" {
		return "is missing, must be set"
	}
	return fmt.Sprintf("%s is not allowed, must be %s", value(fieldErr), allowed(fieldErr))
}

// value formats the rejected value. Collections are described by their size.
func value(fieldErr validator.FieldError) string {
	switch fieldErr.Kind() {
	case reflect.String:
		return fmt.Sprintf("%q", fieldErr.Value())
	case reflect.Slice, reflect.Map:
		return fmt.Sprintf("a list of %d", reflect.ValueOf(fieldErr.Value()).Len())
	default:
		return fmt.Sprint(fieldErr.Value())
	}
}

func allowed(fieldErr validator.FieldError) string {
	param := fieldErr.Param()
	switch fieldErr.Tag() {
	case "identifier":
		return "1 to 128 letters, digits, '.', '-' or '_', starting with a letter or digit"
	case "ip_port":
		return "an IP address and a port, such as 192.0.2.1:8443"
	case "http_url":
		return "an http or https URL"
	case "file":
		return "the path of an existing file"
	case "hexadecimal":
		return "hexadecimal digits"
	case "oneof":
		return "one of " + strings.ReplaceAll(param, " ", ", ")
	case "startswith":
		return fmt.Sprintf("a text that starts with %q", param)
	case "len":
		return "exactly " + param + unit(fieldErr.Kind())
	case "min":
		return "at least " + param + unit(fieldErr.Kind())
	case "max":
		return "at most " + param + unit(fieldErr.Kind())
	default:
		return strings.TrimSpace(fieldErr.Tag() + " " + param)
	}
}

func unit(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return " characters"
	case reflect.Slice, reflect.Map:
		return " entries"
	default:
		return ""
	}
}
