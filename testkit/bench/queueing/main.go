package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/admission"
)

func main() {
	command := &cli.Command{
		Name:  "queueing",
		Usage: "compare the orders of queued requests in virtual time",
		Flags: []cli.Flag{&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of seeds, from 1"}},
		Action: func(_ context.Context, c *cli.Command) error {
			return compare(os.Stdout, c.Int("seeds"))
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

var variants = []struct {
	name     string
	newQueue func() queue
}{
	{"first in, first out", newFIFO},
	{"priority and deadline", newSinglePlanQueue},
	{"fair", newFairQueue},
}

func compare(w io.Writer, seeds int) error {
	fmt.Fprintf(w, "%d slots, %v each, seeds 1-%d\n", slots, runLength, seeds)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "order\tplan\trequests\trefused %\texpired %\tlate %\twait p50\tp95\tp99\ttime to give up p99\t")
	for _, v := range variants {
		sum := map[string]*result{}
		for _, p := range plans {
			sum[p.name] = &result{}
		}
		for seed := range seeds {
			run(v.newQueue(), uint64(seed+1), sum)
		}
		for _, p := range plans {
			r := sum[p.name]
			fmt.Fprintf(t, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%s\t%s\t%s\t%s\t\n", v.name, p.name, r.requests,
				r.percent(r.refused), r.percent(len(r.expiredAfter)), r.percent(r.late), quantile(r.waits, 0.5),
				quantile(r.waits, 0.95), quantile(r.waits, 0.99), quantile(r.expiredAfter, 0.99))
		}
	}
	return t.Flush()
}

// result holds the measurements of one plan.
type result struct {
	requests int
	refused  int
	// late counts the requests that ran and ended after their deadline.
	late  int
	waits []time.Duration
	// expiredAfter holds how long the expired requests waited for their final response.
	expiredAfter []time.Duration
}

func (r *result) percent(n int) float64 {
	return 100 * float64(n) / float64(max(r.requests, 1))
}

func quantile(list []time.Duration, q float64) string {
	if len(list) == 0 {
		return "-"
	}
	slices.Sort(list)
	return fmt.Sprintf("%.2fs", list[int(q*float64(len(list)-1))].Seconds())
}

// runningRequest is a running request with the time at which it ends.
type runningRequest struct {
	endsAt time.Time
	request
}

// run feeds the requests of one seed to a queue.
func run(q queue, seed uint64, results map[string]*result) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	requests := generate(start, seed)
	byID := map[string]request{}
	for _, r := range requests {
		byID[r.item.ID] = r
	}
	var running []runningRequest
	for len(requests) > 0 || len(running) > 0 {
		now := nextTime(start, requests, running, q.nextExpiry())
		running = finishAll(q, now, running, results)
		for len(requests) > 0 && !start.Add(requests[0].at).After(now) {
			r := results[requests[0].item.Plan]
			r.requests++
			if !q.offer(now, requests[0].item) {
				r.refused++
			}
			requests = requests[1:]
		}
		recordExpired(now, start, q.expire(now), byID, results)
		running = startAll(q, now, start, running, byID, results)
	}
}

func nextTime(start time.Time, requests []request, running []runningRequest, expiry time.Time) time.Time {
	now := expiry
	if len(requests) > 0 {
		now = earlier(now, start.Add(requests[0].at))
	}
	for _, e := range running {
		now = earlier(now, e.endsAt)
	}
	return now
}

// earlier returns the earlier time; the zero time means that there is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func finishAll(q queue, now time.Time, running []runningRequest, results map[string]*result) []runningRequest {
	return slices.DeleteFunc(running, func(e runningRequest) bool {
		if e.endsAt.After(now) {
			return false
		}
		q.finish(now, e.item.ID, e.usedTokens, e.duration)
		if e.endsAt.After(e.item.Deadline) {
			results[e.item.Plan].late++
		}
		return true
	})
}

func recordExpired(now, start time.Time, items []admission.Item, byID map[string]request, results map[string]*result) {
	for _, item := range items {
		r := byID[item.ID]
		result := results[r.item.Plan]
		result.expiredAfter = append(result.expiredAfter, now.Sub(start.Add(r.at)))
	}
}

func startAll(q queue, now, start time.Time, running []runningRequest, byID map[string]request, results map[string]*result) []runningRequest {
	for {
		item, ok := q.next(now)
		if !ok {
			return running
		}
		r := byID[item.ID]
		result := results[r.item.Plan]
		result.waits = append(result.waits, now.Sub(start.Add(r.at)))
		running = append(running, runningRequest{endsAt: now.Add(r.duration), request: r})
	}
}
