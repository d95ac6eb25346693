package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/loading"
)

func main() {
	command := &cli.Command{
		Name:  "pacing",
		Usage: "compare load pacing and keep-alive in virtual time",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of seeds, from 1"},
			&cli.StringFlag{Name: "table", Value: "all", Usage: "pacing, keepalive, adapters or all"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return compare(os.Stdout, c.Int("seeds"), c.String("table"))
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// tables lists the comparisons by name, in the order in which they are printed.
var tables = []struct {
	name    string
	compare func(w io.Writer, s site, seeds int) error
}{
	{"pacing", comparePacing},
	{"keepalive", compareKeepAlive},
	{"adapters", compareAdapters},
}

func compare(w io.Writer, seeds int, table string) error {
	for _, s := range sites {
		for _, t := range tables {
			if table != t.name && table != "all" {
				continue
			}
			if err := t.compare(w, s, seeds); err != nil {
				return err
			}
		}
	}
	return nil
}

func runSeeds(s site, policy lists.Policy, v variant, f faults, load workload, seeds int) result {
	var sum result
	for seed := range seeds {
		sum.add(run(s, policy, v, f, load, uint64(seed+1)))
	}
	return sum
}

func comparePacing(w io.Writer, s site, seeds int) error {
	fmt.Fprintf(w, "\npacing, %s, seeds 1-%d, %d bursts each\n", s.name, seeds, bursts)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "fault\tpacer\tcold p50\tp95\tp99\tlate %\tloads\tload requests\t")
	for _, f := range []faults{{name: "none"}, {name: "slow x3", slowFactor: 3}, {name: "coordinator down 5 s", coordinatorDownFor: 5 * time.Second}, {name: "coordinator down 30 s", coordinatorDownFor: 30 * time.Second}} {
		for _, v := range pacingVariants {
			r := runSeeds(s, s.policy, v, f, burstArrivals, seeds)
			late := 100 * float64(r.missedDeadlines) / float64(max(len(r.cold), 1))
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.1f\t%d\t%d\t\n", f.name, v.name,
				formatSeconds(r.quantile(0.5)), formatSeconds(r.quantile(0.95)), formatSeconds(r.quantile(0.99)), late, r.loads, r.loadRequests)
		}
	}
	return t.Flush()
}

func compareKeepAlive(w io.Writer, s site, seeds int) error {
	fmt.Fprintf(w, "\nkeep-alive, %s, seeds 1-%d, one day each\n", s.name, seeds)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "weights\tkeep-alive\tcold %\tp50\tp95\tp99\tall p99\tidle h/day\tloads\tcost/day\t")
	for _, other := range sites {
		for _, v := range keepAliveVariants {
			r := runSeeds(s, other.policy, v, faults{}, dayArrivals, seeds)
			days := float64(seeds)
			cold := 100 * float64(len(r.cold)) / float64(r.requests)
			fmt.Fprintf(t, "%s\t%s\t%.2f\t%s\t%s\t%s\t%s\t%.1f\t%.0f\t%.0f\t\n", other.name, v.name, cold,
				formatSeconds(r.quantile(0.5)), formatSeconds(r.quantile(0.95)), formatSeconds(r.quantile(0.99)), formatSeconds(r.overallQuantile(0.99)),
				r.idle/3600/days, float64(r.loads)/days, r.cost(other.policy)/days)
		}
	}
	return t.Flush()
}

// overallQuantile returns the q-quantile of the wait of all requests. Requests for
// a loaded model have a wait of zero.
func (r *result) overallQuantile(q float64) time.Duration {
	warm := 1 - float64(len(r.cold))/float64(r.requests)
	if q <= warm {
		return 0
	}
	return r.quantile((q - warm) / (1 - warm))
}

// cost returns the weighted sum of the waits for loads and of the idle time.
func (r *result) cost(policy lists.Policy) float64 {
	var waits float64
	for _, c := range r.cold {
		waits += c.Seconds()
	}
	return policy.ColdStartWeight*waits + policy.IdleWeight*r.idle
}

func formatSeconds(d time.Duration) string {
	return fmt.Sprintf("%.2fs", d.Seconds())
}

func staticSplit(s site) loading.Pacer { return loading.NewStaticPacer(s.limits, s.runners) }
func adaptive(s site) loading.Pacer    { return loading.NewAdaptivePacer(s.limits, s.runners) }
func coordinated(s site) loading.Pacer {
	return loading.NewCoordinatedPacer(s.limits, s.runners, loading.FallbackStatic)
}

func coordinatedByPosition(s site) loading.Pacer {
	return loading.NewCoordinatedPacer(s.limits, s.runners, loading.FallbackPosition)
}

func unpaced(s site) loading.Pacer {
	free := loading.StoreLimits{StartsPerSecond: 1e6, MaxConcurrent: 1e6}
	return loading.NewStaticPacer(free, 1)
}

func keepFor(d time.Duration) func(*runner, *replica) time.Time {
	return func(r *runner, _ *replica) time.Time { return r.trial.clock.Now().Add(d) }
}

// keepBreakEven keeps a model until its idle time costs as much as a cold start.
func keepBreakEven(r *runner, rep *replica) time.Time {
	policy := r.trial.policy
	cold := policy.ColdStartWeight * rep.model.loadTime.Seconds()
	idle := policy.IdleWeight * memoryShare(rep.model)
	return r.trial.clock.Now().Add(time.Duration(cold / idle * float64(time.Second)))
}

func keepByHistory(r *runner, rep *replica) time.Time {
	now := r.trial.clock.Now()
	return r.keepAlivePolicy.UnloadAt(now, rep.target(), rep.model.loadTime, memoryShare(rep.model), r.trial.policy)
}

const (
	burstKeepAlive = time.Minute
	fixedKeepAlive = 10 * time.Minute
)

var pacingVariants = []variant{
	{name: "unpaced, per entry", pacer: unpaced, keepAlive: keepFor(burstKeepAlive), perEntryRouting: true},
	{name: "unpaced", pacer: unpaced, keepAlive: keepFor(burstKeepAlive)},
	{name: "split", pacer: staticSplit, keepAlive: keepFor(burstKeepAlive)},
	{name: "adaptive", pacer: adaptive, keepAlive: keepFor(burstKeepAlive)},
	{name: "coordinated, arrival", pacer: coordinated, keepAlive: keepFor(burstKeepAlive), order: loading.OrderArrival},
	{name: "coordinated, deadline", pacer: coordinated, keepAlive: keepFor(burstKeepAlive), order: loading.OrderDeadline},
	{name: "coordinated, urgent", pacer: coordinated, keepAlive: keepFor(burstKeepAlive), order: loading.OrderUrgent},
	{name: "coordinated, waiting", pacer: coordinated, keepAlive: keepFor(burstKeepAlive), order: loading.OrderWaiting},
	{name: "coordinated, urgent, position", pacer: coordinatedByPosition, keepAlive: keepFor(burstKeepAlive), order: loading.OrderUrgent},
}

var keepAliveVariants = []variant{
	{name: "10 min, per entry, unpaced", pacer: unpaced, keepAlive: keepFor(fixedKeepAlive), perEntryRouting: true},
	{name: "10 min", pacer: coordinated, keepAlive: keepFor(fixedKeepAlive), order: loading.OrderUrgent},
	{name: "break-even", pacer: coordinated, keepAlive: keepBreakEven, order: loading.OrderUrgent},
	{name: "history", pacer: coordinated, keepAlive: keepByHistory, order: loading.OrderUrgent},
}
