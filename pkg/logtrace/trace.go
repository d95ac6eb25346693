package logtrace

import (
	"cmp"
	"slices"
	"strings"
)

// Trace holds the log lines that concern one request.
type Trace struct {
	// Lines contains the lines that name the request, sorted by time.
	Lines []Line
	// Views contains the views that were active at the last line of the request on
	// each host, as the last lines that report them, sorted by host and time.
	Views []Line
}

// Find returns the trace of a request. Each log holds the lines of one or more
// processes, in order.
func Find(logs [][]Line, request string) Trace {
	var trace Trace
	f := finder{subjects: make(map[string]bool)}
	for _, log := range logs {
		for _, line := range log {
			if line.Get(attrRequest) == request {
				trace.Lines = append(trace.Lines, line)
				f.recordSubjects(&line)
			}
		}
	}
	slices.SortStableFunc(trace.Lines, compareTimes)
	for _, log := range logs {
		trace.Views = append(trace.Views, f.views(log, request)...)
	}
	slices.SortStableFunc(trace.Views, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), compareTimes(a, b))
	})
	return trace
}

func compareTimes(a, b Line) int { return a.Time.Compare(b.Time) }

// finder holds the subjects that a request involved.
type finder struct {
	// subjects holds models, hosts and backend servers as "kind:name".
	subjects map[string]bool
}

func (f *finder) recordSubjects(line *Line) {
	f.subjects[attrAgent+":"+line.Host] = true
	for _, kind := range []string{attrModel, attrAgent, attrBackend} {
		if subject := line.Get(kind); subject != "" {
			f.subjects[kind+":"+subject] = true
		}
	}
}

// viewKey identifies a view of a host.
type viewKey struct{ host, view string }

// views returns the lines that report the views that were active at the last line of
// the request on each host in a log.
func (f *finder) views(log []Line, request string) []Line {
	last := make(map[string]int)
	for i := range log {
		if log[i].Get(attrRequest) == request {
			last[log[i].Host] = i
		}
	}
	active := make(map[viewKey]Line)
	for i, line := range log {
		view := line.Get(attrView)
		end, involved := last[line.Host]
		if view == "" || !involved || i > end || !f.concerns(view) {
			continue
		}
		active[viewKey{line.Host, view}] = line
	}
	found := make([]Line, 0, len(active))
	for _, line := range active {
		found = append(found, line)
	}
	return found
}

// concerns reports whether a view is general or about a subject of the request.
func (f *finder) concerns(view string) bool {
	kind, _, _ := strings.Cut(view, ":")
	switch kind {
	case attrModel, attrAgent, attrBackend:
		return f.subjects[view]
	default:
		return true
	}
}
