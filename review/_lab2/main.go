// Command lab2 plays the cases of the second review: it starts the project's programs as
// processes with the commands of the deploy file, with small stand-ins for the platform,
// the backend servers and the callers, on loopback addresses.
//
//	lab2 CASE FOLDER   plays a case and writes FOLDER/record.txt
//
// It exits with 0 if the rule of the case held, with 1 if it was broken, and with 2 if the
// case couldn't run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// The exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	maxCaseTime = 110 * time.Second
)

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// play is the play of a case; trouble tells whether to bring the disruption about.
type play func(l *lab, trouble bool) error

var plays = map[string]play{
	"lost-end":       playLostEnd,
	"reused-address": playReusedAddress,
	"silent-store":   playSilentStore,
	"silent-leave":   playSilentLeave,
	"lost-change":    playLostChange,
}

func main() {
	if len(os.Args) >= 2 && os.Args[1] == "runner" {
		serveRunner(os.Args[2:])
		return
	}
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || plays[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	l, err := newLab(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab2:", err)
		return exitNotRun
	}
	defer l.close()
	overtime := time.AfterFunc(maxCaseTime, func() {
		l.note("the case took too long")
		l.close()
		os.Exit(exitNotRun)
	})
	defer overtime.Stop()
	l.note("case %s, trouble %t", args[0], trouble)
	err = plays[args[0]](l, trouble)
	switch {
	case err == nil:
		l.note("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		l.note("result: %v", err)
		return exitBroken
	default:
		l.note("result: the case couldn't run: %v", err)
		return exitNotRun
	}
}
