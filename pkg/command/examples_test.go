package command

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

// TestExamples validates the examples with the code of the subcommands and compares
// their sizes with those of the two deployments.
func TestExamples(t *testing.T) {
	cases := []struct {
		site                    string
		models, adapters, plans int
		service                 string
	}{
		{"van-dijkhuis", 65, 100, 4, "order-desk"},
		{"consortium", 20, 55, 6, "portal"},
	}
	for _, c := range cases {
		t.Run(c.site, func(t *testing.T) {
			dir := filepath.Join("..", "..", "examples", c.site)
			plans, allowances := readExample(t, dir)
			if len(allowances.Models) != c.models || len(allowances.Adapters) != c.adapters || len(plans.Plans) != c.plans {
				t.Errorf("%d models, %d adapters, %d plans", len(allowances.Models), len(allowances.Adapters), len(plans.Plans))
			}
			if len(allowances.Services) != 1 || allowances.Services[0].Name != c.service {
				t.Errorf("services %+v", allowances.Services)
			}
			if _, err := settings.ParseEntry(readSettings(t, dir, "entry.json")); err != nil {
				t.Errorf("entry.json:\n%v", err)
			}
			for _, name := range []string{"agent-runner.json", "agent-" + c.service + ".json"} {
				if _, err := settings.ParseAgent(readSettings(t, dir, name)); err != nil {
					t.Errorf("%s:\n%v", name, err)
				}
			}
		})
	}
}

func readExample(t *testing.T, dir string) (lists.Plans, lists.Allowances) {
	t.Helper()
	plans, allowances := filepath.Join(dir, "plans.json"), filepath.Join(dir, "allowances.json")
	expect(t, ExitOK, "PLAN", "lists", "check", "--plans", plans, "--allowances", allowances)
	plansJSON, err := os.ReadFile(plans)
	if err != nil {
		t.Fatal(err)
	}
	allowancesJSON, err := os.ReadFile(allowances)
	if err != nil {
		t.Fatal(err)
	}
	parsedPlans, parsedAllowances, err := lists.Parse(plansJSON, allowancesJSON)
	if err != nil {
		t.Fatal(err)
	}
	return parsedPlans, parsedAllowances
}

// keyFile matches the paths of key files in the examples, which do not exist here.
var keyFile = regexp.MustCompile(`"/etc/teaselgauge/[^"]*"`)

func readSettings(t *testing.T, dir, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	existing := write(t, "pem", "")
	return keyFile.ReplaceAll(data, []byte(`"`+existing+`"`))
}
