package routing

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes rapid's seed unless the command line sets one, so that every run
// of the tests has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261203")
	}
	fmt.Println("rapid.seed =", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
