package serverfaults

import (
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// Guards against a stream that seems complete because its server was restarted while its
// entry was frozen.
func TestStreamOfRestartedServerIsNotCompleteAfterFreezeOfEntry(t *testing.T) {
	options := versionsOptions(oneVersion)
	options.Entries, options.Software = 1, nil
	s := startSite(t, options)
	plan := backendserver.Plan{Framing: backendserver.FramingConnection, Events: 40, GapMillis: 25}
	entry := s.Entries[0]
	c, server := sendUntilStarted(t, s, entry, call{path: platformsite.AdvicePath, plan: plan}, 3)
	if err := entry.Freeze(); err != nil {
		t.Fatal(err)
	}
	// Some events wait at the entry when the server ends.
	time.Sleep(100 * time.Millisecond)
	if err := server.Restart(); err != nil {
		t.Fatal(err)
	}
	if err := server.Register(testContext(t)); err != nil {
		t.Fatal(err)
	}
	if err := entry.Thaw(); err != nil {
		t.Fatal(err)
	}
	verify(t, s, c, c.finish())
}
