package site

import (
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestExampleLists compares the example lists with the default lists. The flag -update
// rewrites the examples.
func TestExampleLists(t *testing.T) {
	golden := goldie.New(t, goldie.WithFixtureDir("../../examples"), goldie.WithNameSuffix(".json"))
	plans, allowances := DefaultLists()
	golden.AssertJson(t, "plans", plans)
	golden.AssertJson(t, "allowances", allowances)
}

func TestExampleOptions(t *testing.T) {
	options, err := ReadOptions(filepath.Join("..", "..", "examples", "site.json"))
	if err != nil {
		t.Fatal(err)
	}
	if options.Entries != 2 || options.Runners != 3 || options.Services != 1 {
		t.Errorf("options %+v", options)
	}
}
