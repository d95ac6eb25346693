package logtrace

import (
	"strings"
	"testing"
)

const entryLog = `  1.0 front-1 time=2026-01-01T00:00:01Z level=INFO msg="configuration activated" host=front-1 belief=configuration version=3
  2.0 front-1 time=2026-01-01T00:00:02Z level=INFO msg="configuration activated" host=front-1 belief=configuration version=4
not a line of a log "
  2.1 front-1 time=2026-01-01T00:00:02.1Z level=INFO msg="agent connection lost" host=front-1 belief=agent:side-1
  2.2 front-1 time=2026-01-01T00:00:02.2Z level=INFO msg="agent connection lost" host=front-1 belief=agent:side-2
  3.0 front-1 time=2026-01-01T00:00:03Z level=INFO msg="lease refused" host=front-1 request=r1 agent=side-1 reason=deadline
  3.5 front-1 time=2026-01-01T00:00:03.5Z level=INFO msg=request host=front-1 request=r2 model=m
  4.0 front-1 time=2026-01-01T00:00:04Z level=INFO msg=request host=front-1 request=r1 model=m outcome=not-run
  5.0 front-1 time=2026-01-01T00:00:05Z level=INFO msg="configuration activated" host=front-1 belief=configuration version=5
`

const agentLog = `time=2026-01-01T00:00:02.5Z level=INFO msg="order completed" host=side-1 belief=model:m operation=unload
time=2026-01-01T00:00:02.6Z level=INFO msg="order completed" host=side-1 belief=model:other operation=load
time=2026-01-01T00:00:02.9Z level=INFO msg="lease refused by agent" host=side-1 request=r1 model=m reason=deadline state="model=absent tier=disk"
`

func read(t *testing.T, text string) []Line {
	t.Helper()
	lines, err := Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

func TestFind(t *testing.T) {
	trace := Find([][]Line{read(t, entryLog), read(t, agentLog)}, "r1")
	var got []string
	for _, line := range trace.Lines {
		got = append(got, line.Host+" "+line.Message)
	}
	if text := strings.Join(got, ", "); text != "side-1 lease refused by agent, front-1 lease refused, front-1 request" {
		t.Errorf("lines: %s", text)
	}
	got = nil
	for _, line := range trace.Views {
		got = append(got, line.Host+" "+line.Get("belief")+" "+line.Get("version"))
	}
	if text := strings.Join(got, ", "); text != "front-1 configuration 4, front-1 agent:side-1 , side-1 model:m " {
		t.Errorf("views: %s", text)
	}
	if state := trace.Lines[0].Get("state"); state != "model=absent tier=disk" {
		t.Errorf("state %q", state)
	}
}

func TestUnknownRequest(t *testing.T) {
	if trace := Find([][]Line{read(t, entryLog)}, "r9"); len(trace.Lines)+len(trace.Views) != 0 {
		t.Errorf("found %+v", trace)
	}
}
