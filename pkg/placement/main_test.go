package placement

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain gives rapid a fixed seed unless the command line sets another, so that
// all runs test the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261203")
	}
	fmt.Println("rapid.seed =", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
