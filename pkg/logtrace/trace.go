package logtrace

import (
	"cmp"
	"slices"
	"strings"
)

// Trace is what the logs tell of one request.
type Trace struct {
	// Lines name the request, in the order of time.
	Lines []Line
	// Beliefs are the last lines before the request's that tell what its hosts
	// believed, in the order of host and time.
	Beliefs []Line
}

// Find returns the trace of a request. Each log holds the lines of one or more
// processes in their order.
func Find(logs [][]Line, request string) Trace {
	var trace Trace
	f := finder{subjects: make(map[string]bool)}
	for _, log := range logs {
		for _, line := range log {
			if line.Get(attrRequest) == request {
				trace.Lines = append(trace.Lines, line)
				f.note(&line)
			}
		}
	}
	slices.SortStableFunc(trace.Lines, compareTimes)
	for _, log := range logs {
		trace.Beliefs = append(trace.Beliefs, f.beliefs(log, request)...)
	}
	slices.SortStableFunc(trace.Beliefs, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), compareTimes(a, b))
	})
	return trace
}

func compareTimes(a, b Line) int { return a.Time.Compare(b.Time) }

// finder knows what a request had to do with.
type finder struct {
	// subjects are models, hosts and backend servers, by kind and name.
	subjects map[string]bool
}

func (f *finder) note(line *Line) {
	f.subjects[attrAgent+":"+line.Host] = true
	for _, kind := range []string{attrModel, attrAgent, attrBackend} {
		if subject := line.Get(kind); subject != "" {
			f.subjects[kind+":"+subject] = true
		}
	}
}

// beliefKey names a belief of a host.
type beliefKey struct{ host, belief string }

// beliefs returns the beliefs that were in force at the last line of the request
// of each host in a log.
func (f *finder) beliefs(log []Line, request string) []Line {
	last := make(map[string]int)
	for i := range log {
		if log[i].Get(attrRequest) == request {
			last[log[i].Host] = i
		}
	}
	inForce := make(map[beliefKey]Line)
	for i, line := range log {
		belief := line.Get(attrBelief)
		end, involved := last[line.Host]
		if belief == "" || !involved || i > end || !f.concerns(belief) {
			continue
		}
		inForce[beliefKey{line.Host, belief}] = line
	}
	found := make([]Line, 0, len(inForce))
	for _, line := range inForce {
		found = append(found, line)
	}
	return found
}

// concerns tells whether a belief is general, or about what the request had to do
// with.
func (f *finder) concerns(belief string) bool {
	kind, _, _ := strings.Cut(belief, ":")
	switch kind {
	case attrModel, attrAgent, attrBackend:
		return f.subjects[belief]
	default:
		return true
	}
}
