// Command drive runs one case of the review: it starts the project's programs as processes
// on loopback addresses, with stand-ins for the platform, and checks one rule by what
// clients and runners see. It exits with 1 if the rule was broken, 0 if it held and 2 if
// the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// The exit statuses of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		os.Exit(serverProcess(os.Args[2:]))
	}
	cases := map[string]func(*lab, bool) (bool, error){
		"second-copy": secondCopy,
		"notice":      notice,
		"late-order":  lateOrder,
		"drill":       drill,
		"other-entry": otherEntry,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive CASE RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*lab, bool) (bool, error), path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	l, err := newLab(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer l.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("disruption: %t", trouble)
	ok, err := play(l, trouble)
	switch {
	case err != nil:
		r.add("the case couldn't run: %s", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return cannotRun
	case !ok:
		r.add("result: the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	r.add("result: the rule held")
	fmt.Println("the rule held")
	return held
}
