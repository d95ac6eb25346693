// Command capacity measures how the cost of the product's components grows with
// their size: memory, processor time, bytes and calls. It prints each measured
// value and the slope of its series. Processor time is that of the process itself,
// so that other load on the machine has little influence.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/urfave/cli/v3"
)

// measurement is one group of series.
type measurement struct {
	name string
	run  func(ctx context.Context, report *report) error
}

var measurements = []measurement{
	{"codec", measureCodec},
	{"callers", measureCallers},
	{"lists", measureLists},
	{"members", measureMembers},
	{"hostlist", measureHostList},
	{"placement", measurePlacement},
	{"faults", measureFaults},
	{"links", measurePeerMemory},
	{"exchange", measureExchange},
	{"traffic", measureTraffic},
	{"processes", measureProcesses},
	{"fleet", measureFleet},
}

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure how costs grow with size",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "only", Usage: "names of measurements; all if absent"},
			&cli.IntFlag{Name: "serve-agents", Hidden: true},
			&cli.StringFlag{Name: "directory", Hidden: true},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	if count := c.Int("serve-agents"); count > 0 {
		return serveAgents(ctx, c.String("directory"), count)
	}
	only := c.StringSlice("only")
	report := &report{out: os.Stdout}
	report.header()
	var failed error
	for _, m := range measurements {
		if len(only) > 0 && !slices.Contains(only, m.name) {
			continue
		}
		if err := m.run(ctx, report); err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", m.name, err))
		}
	}
	return failed
}
