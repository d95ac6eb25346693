package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

func main() {
	command := &cli.Command{
		Name:  "policy",
		Usage: "compare the decisions with baselines in virtual time",
		Flags: []cli.Flag{&cli.IntFlag{Name: "seeds", Value: 3, Usage: "number of seeds, from 1"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if err := compareSites(os.Stdout, c.Int("seeds")); err != nil {
				return err
			}
			return compareFairness(os.Stdout, c.Int("seeds"))
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "policy:", err)
		os.Exit(1)
	}
}

// variant is a combination of policies to compare.
type variant struct {
	name string
	// permits restricts replicas to those with a permit; entries route by rank.
	permits bool
	// choose selects a runner on behalf of an entry if there are no permits.
	choose func(e *entry, r *request) *runner
	// fixedKeepAlive is the keep-alive time, or zero for the product's policy.
	fixedKeepAlive time.Duration
}

var variants = []variant{
	{name: "product", permits: true},
	{name: "10 min, least loaded", choose: leastLoaded, fixedKeepAlive: 10 * time.Minute},
	{name: "10 min, per-entry choice", choose: perEntryRouting, fixedKeepAlive: 10 * time.Minute},
}

func compareSites(w io.Writer, seeds int) error {
	for _, s := range sites {
		fmt.Fprintf(w, "\n%s, seeds 1-%d, %v each\n", s.name, seeds, runLength)
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "variant\trequests\tcold p50\tp95\tp99\tidle h\twake-ups\tloads/wake-up\tpermit writes\tnot served %\tby reason\t")
		for _, v := range variants {
			var sum result
			for seed := range seeds {
				sum.add(run(s, v, uint64(seed+1)))
			}
			fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%.1f\t%d\t%.2f\t%d\t%.2f\t%s\t\n", v.name, sum.requests,
				formatSeconds(sum.quantile(0.5)), formatSeconds(sum.quantile(0.95)), formatSeconds(sum.quantile(0.99)), sum.idle.Hours(),
				sum.wakeUps, float64(sum.loads)/float64(max(sum.wakeUps, 1)), sum.writes, sum.percentRefused(), sum.formatRefusals())
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.2fs", d.Seconds()) }

// result holds the measurements of trials.
type result struct {
	requests int
	loads    int
	// wakeUps counts the loads of models that no runner had loaded.
	wakeUps int
	// writes counts the placement changes written to the key-value service.
	writes int
	// idle is accelerator time: time multiplied by the share of a runner's memory.
	idle    time.Duration
	cold    []time.Duration
	refused map[wire.Reason]int
}

func (r *result) countRefusal(reason wire.Reason) {
	if r.refused == nil {
		r.refused = make(map[wire.Reason]int)
	}
	r.refused[reason]++
}

func (r *result) add(o result) {
	r.requests += o.requests
	r.loads += o.loads
	r.wakeUps += o.wakeUps
	r.writes += o.writes
	r.idle += o.idle
	r.cold = append(r.cold, o.cold...)
	for reason, count := range o.refused {
		for range count {
			r.countRefusal(reason)
		}
	}
}

func (r *result) quantile(q float64) time.Duration {
	if len(r.cold) == 0 {
		return 0
	}
	slices.Sort(r.cold)
	return r.cold[int(q*float64(len(r.cold)-1))]
}

func (r *result) percentRefused() float64 {
	total := 0
	for _, count := range r.refused {
		total += count
	}
	return 100 * float64(total) / float64(max(r.requests, 1))
}

func (r *result) formatRefusals() string {
	var parts []string
	for reason, count := range r.refused {
		parts = append(parts, fmt.Sprintf("%s %d", reason, count))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
