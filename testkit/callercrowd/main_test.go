// Package callercrowd tests an entry, as a process, under crowds of callers that keep to
// no limits: it lives, stays within the memory and the descriptors of its host, and answers
// an ordinary request afterwards. No check depends on the machine's speed. The tests run
// one at a time.
package callercrowd

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/site"
)

const (
	// memoryMB is the memory of the entry in its settings, and the bound of its peak: two
	// thirds of the 144 MB of the smallest host, so that a small crowd exceeds it.
	memoryMB = 96
	// maxDescriptors is the number of descriptors in the entry's settings, and their bound.
	maxDescriptors = 500
	// maxHeaderBytes, maxBodyBytes, headerTimeout and idleTimeout are the limits of the
	// configuration.
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 1 << 20
	headerTimeout  = 2 * time.Second
	idleTimeout    = 5 * time.Second
	// waitTimeout bounds the wait for an expected event.
	waitTimeout = 60 * time.Second
	// settleTime is how long a crowd stays after it has sent what it sends.
	settleTime = time.Second
)

func TestMain(m *testing.M) {
	code := m.Run()
	site.CleanShared()
	os.Exit(code)
}

// start runs a site with one entry until the test ends.
func start(t *testing.T) *platformsite.Site {
	t.Helper()
	return startWith(t, maxDescriptors)
}

// startWith is like start for an entry with another number of descriptors.
func startWith(t *testing.T, descriptors int) *platformsite.Site {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	binaries, err := site.Shared()
	if err != nil {
		t.Fatal(err)
	}
	options := platformsite.DefaultOptions()
	options.Entries, options.Runners, options.Plain = 1, 1, 1
	options.Models = options.Models[:1]
	options.LogLevel = "info"
	options.Limits = settings.ProcessLimits{MemoryMB: memoryMB, MaxDescriptors: descriptors}
	s, err := platformsite.Start(t.Context(), binaries, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(s.Logs())
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	s.Configure(func(c *platformsite.Configuration) {
		c.Limits = platformsite.Limits{
			MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes,
			HeaderTimeoutMs: float64(headerTimeout.Milliseconds()), IdleTimeoutMs: float64(idleTimeout.Milliseconds()),
		}
		for i := range c.Routes {
			c.Routes[i].TimeoutMs = float64(waitTimeout.Milliseconds())
		}
	})
	mustAnswer(t, s)
	return s
}

// mustAnswer fails the test unless the entry answers an ordinary request.
func mustAnswer(t *testing.T, s *platformsite.Site) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	err := site.Eventually(ctx, func() error {
		request := s.NewRequest(platformsite.StockPath, "")
		return s.Check(request, s.Entries[0].Send(ctx, request))
	})
	if err != nil {
		t.Errorf("no ordinary request answered: %v", err)
	}
}

// watch notes the most descriptors that a process has open until the returned function is
// called.
func watch(pid int) func() int {
	const interval = 20 * time.Millisecond
	done, most := make(chan struct{}), make(chan int)
	go func() {
		highest := 0
		for {
			highest = max(highest, descriptors(pid))
			select {
			case <-done:
				most <- highest
				return
			case <-time.After(interval):
			}
		}
	}()
	return func() int {
		close(done)
		return <-most
	}
}

func descriptors(pid int) int {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

// peakMemory returns the most resident memory that a process has had, in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kibibytes int64
	if _, err := fmt.Sscan(rest, &kibibytes); err != nil {
		t.Fatal(err)
	}
	return kibibytes << 10
}

// check plays a crowd and checks the entry's process during and after it.
func check(t *testing.T, s *platformsite.Site, play func(*crowd)) {
	t.Helper()
	checkWith(t, s, maxDescriptors, play)
}

// checkWith is like check with another bound of descriptors.
func checkWith(t *testing.T, s *platformsite.Site, bound int, play func(*crowd)) {
	t.Helper()
	entry := s.Entries[0]
	pid := entry.PID()
	mostDescriptors := watch(pid)
	c := newCrowd(entry.Callers)
	play(c)
	time.Sleep(settleTime)
	mustAnswer(t, s)
	c.leave()
	mustAnswer(t, s)
	open, peak := mostDescriptors(), peakMemory(t, pid)
	t.Logf("peak %d MB, %d descriptors, %d connections refused or closed at once", peak/1e6, open, c.failed.Load())
	if !entry.Running() || entry.PID() != pid {
		t.Error("the process has ended")
	}
	if peak > memoryMB*1e6 {
		t.Errorf("peak of %d MB, bound %d MB", peak/1e6, memoryMB)
	}
	if open > bound {
		t.Errorf("%d descriptors open, bound %d", open, bound)
	}
}
