package callercrowd

import "testing"

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
