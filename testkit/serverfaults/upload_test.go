package serverfaults

import (
	"fmt"
	"net/http"
	"testing"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

const (
	// uploadPadding is the padding of an upload, in bytes.
	uploadPadding = 3_900_000
	// uploadCalls is the number of calls of each kind.
	uploadCalls = 10
)

// Guards against a reset during an upload that makes a part of a response look whole.
func TestResetDuringUploadDoesNotEndResponse(t *testing.T) {
	s := uploadSite.start(t)
	warmUp(t, s)
	s.Configure(func(c *platformsite.Configuration) { c.Limits.MaxBodyBytes = maxUpload })
	awaitUploads(t, s)
	for _, path := range append([]string{platformsite.BookingPath, platformsite.StockPath}, streamPaths...) {
		for _, wait := range []int{0, 5, 20} {
			t.Run(fmt.Sprintf("%s %d ms", path, wait), func(t *testing.T) {
				plan := backendserver.Plan{
					Framing: backendserver.FramingConnection, Events: 10, Early: true, GapMillis: wait, Stop: backendserver.StopReset, StopAfter: 4,
				}
				received := 0
				for range uploadCalls {
					c := send(t, s.Entries[mainEntry], call{path: path, plan: plan, padding: uploadPadding})
					got := c.finish()
					if err := c.check(got); err != nil {
						t.Error(err)
					}
					if got.status == http.StatusOK || got.status == http.StatusBadGateway || got.status == 0 {
						received++
					}
				}
				if received == 0 {
					t.Errorf("none of %d uploads reached a server", uploadCalls)
				}
			})
		}
	}
}

// awaitUploads waits until the main entry takes long bodies, and serves them.
func awaitUploads(t *testing.T, s *platformsite.Site) {
	t.Helper()
	err := site.Eventually(testContext(t), func() error {
		plan := streamPlan(backendserver.FramingLength)
		c, err := dial(s.Entries[mainEntry], call{path: platformsite.BookingPath, plan: plan, padding: uploadPadding}, func(*caller) {})
		if err != nil {
			return err
		}
		return c.checkServed(c.finish())
	})
	if err != nil {
		t.Fatal(err)
	}
}
