package callercrowd

import (
	"context"
	"strings"
	"testing"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/site"
)

// The sizes of the crowds, in callers.
const (
	headCallers    = 400
	endlessCallers = 64
	bodyCallers    = 200
	idleCallers    = 600
	mixedCallers   = 60
	mixedRounds    = 4
)

// Guards against legal heads of very many lines that draw many times their bytes.
func TestHeadsOfShortLines(t *testing.T) {
	check(t, start(t), func(c *crowd) { c.join(headCallers, shortLines) })
}

// Guards against many requests at once with heads of very many lines.
func TestWholeHeadsOfShortLines(t *testing.T) {
	check(t, start(t), func(c *crowd) { c.join(headCallers, wholeShortLines) })
}

// Guards against legal heads of odd lines that draw many times their bytes.
func TestHeadsOfOddLines(t *testing.T) {
	check(t, start(t), func(c *crowd) { c.join(headCallers, oddLines) })
}

// Guards against heads over the limit that are read all the same.
func TestEndlessHeads(t *testing.T) {
	check(t, start(t), func(c *crowd) { c.join(endlessCallers, endlessHead) })
}

// Guards against empty lines before a request that are read without end.
func TestEndlessEmptyLines(t *testing.T) {
	check(t, start(t), func(c *crowd) { c.join(endlessCallers, emptyLines) })
}

// Guards against bodies in large chunks that are kept without a bound over all of them.
func TestBodiesInLargeChunks(t *testing.T) {
	check(t, start(t), func(c *crowd) { c.join(bodyCallers, largeChunks) })
}

// Guards against bodies in chunks of one byte that are kept without a bound.
func TestBodiesInTinyChunks(t *testing.T) {
	check(t, start(t), func(c *crowd) { c.join(bodyCallers, tinyChunks) })
}

// Guards against bodies that are allocated by their stated length and never come.
func TestBodiesOfStatedLength(t *testing.T) {
	check(t, start(t), func(c *crowd) { c.join(bodyCallers, statedLength) })
}

// Guards against callers that don't read their responses.
func TestUnreadResponses(t *testing.T) {
	check(t, start(t), func(c *crowd) { c.join(bodyCallers, unreadResponse) })
}

// Guards against more connections than the process has descriptors.
func TestConnectionsWithoutRequests(t *testing.T) {
	check(t, start(t), func(c *crowd) { c.join(idleCallers, nothing) })
}

// Guards against crowds of all kinds at once that come again after they have left.
func TestMixedCrowdComesAgain(t *testing.T) {
	check(t, start(t), func(c *crowd) {
		for range mixedRounds {
			for _, parts := range []func(string) []string{shortLines, wholeShortLines, endlessHead, largeChunks, tinyChunks, statedLength, unreadResponse, nothing} {
				c.join(mixedCallers, parts)
			}
			c.leave()
		}
	})
}

// Guards against limits that refuse a single request inside those of the configuration.
func TestSingleRequestInsideTheLimitsIsServed(t *testing.T) {
	s := start(t)
	const bodyBytes = 4 << 20
	s.Configure(func(c *platformsite.Configuration) {
		c.Limits = platformsite.Limits{MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: bodyBytes, HeaderTimeoutMs: 1000, IdleTimeoutMs: 5000}
		for i := range c.Routes {
			c.Routes[i].TimeoutMs = float64(waitTimeout.Milliseconds())
		}
	})
	for _, framing := range []string{"length", "large chunks", "tiny chunks"} {
		t.Run(framing, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			// The entry may still have the configuration before.
			err := site.Eventually(ctx, func() error {
				request := s.NewRequest(platformsite.StockPath, "")
				request.Body = strings.Repeat("b", bodyBytes)
				return sendWhole(s, request, framing)
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
	if peak := peakMemory(t, s.Entries[0].PID()); peak > memoryMB*1e6 {
		t.Errorf("peak of %d MB, bound %d MB", peak/1e6, memoryMB)
	}
}

// aheadCallers is the size of the crowds whose lines are read ahead. The memory is the same,
// the descriptors allow all of them.
const (
	aheadCallers     = 1200
	aheadDescriptors = 3075
)

// Guards against lines that are read ahead, before their head is counted.
func TestLinesReadAhead(t *testing.T) {
	checkWith(t, startWith(t, aheadDescriptors), aheadDescriptors, func(c *crowd) { c.join(aheadCallers, linesAhead) })
}

// Guards against trailers of very many lines.
func TestTrailersOfShortLines(t *testing.T) {
	checkWith(t, startWith(t, aheadDescriptors), aheadDescriptors, func(c *crowd) { c.join(aheadCallers, shortTrailers) })
}
