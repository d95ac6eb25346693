// Package platformprocess tests the programs as separate processes, against
// stand-ins for the systems of the users' platform.
package platformprocess

import (
	"context"
	"os"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// waitTimeout bounds the wait for an expected event.
const waitTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	code := m.Run()
	site.CleanShared()
	os.Exit(code)
}

// start runs a site until the test ends. It logs the processes' output if the test
// failed, and fails the test if a backend server was overcommitted or received an
// order from an earlier agent.
func start(t *testing.T, change func(*platformsite.Options)) *platformsite.Site {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	binaries, err := site.Shared()
	if err != nil {
		t.Fatal(err)
	}
	options := platformsite.DefaultOptions()
	if change != nil {
		change(&options)
	}
	s, err := platformsite.Start(t.Context(), binaries, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if violations := s.Violations(); violations != (backendserver.Violations{}) {
			t.Errorf("violations at backend servers: %+v", violations)
		}
		if t.Failed() || os.Getenv("SITE_LOGS") != "" {
			t.Log(s.Logs())
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	return s
}

// testContext returns a context that ends after waitTimeout or with the test.
func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

// mustServe sends a request and checks that its response is correct.
func mustServe(t *testing.T, s *platformsite.Site, entry *platformsite.Entry, request platformsite.Request) platformsite.Result {
	t.Helper()
	result := entry.Send(testContext(t), request)
	if err := s.Check(request, result); err != nil {
		t.Fatalf("%s at %s: %v", request.Path, entry.ID, err)
	}
	checkInvariants(t, s, request, result)
	return result
}

// eventuallyServe sends new requests until one succeeds.
func eventuallyServe(t *testing.T, s *platformsite.Site, entry *platformsite.Entry, path, model string) {
	t.Helper()
	ctx := testContext(t)
	err := site.Eventually(ctx, func() error {
		request := s.NewRequest(path, model)
		result := entry.Send(ctx, request)
		checkInvariants(t, s, request, result)
		return s.Check(request, result)
	})
	if err != nil {
		t.Fatalf("%s %s at %s: %v", path, model, entry.ID, err)
	}
}

// checkInvariants checks a request's result against the backend servers' journals.
func checkInvariants(t *testing.T, s *platformsite.Site, request platformsite.Request, result platformsite.Result) {
	t.Helper()
	if err := s.CheckInvariants(request, result); err != nil {
		t.Error(err)
	}
}

// eventually waits until check returns nil.
func eventually(t *testing.T, check func() error) {
	t.Helper()
	if err := site.Eventually(testContext(t), check); err != nil {
		t.Fatal(err)
	}
}
