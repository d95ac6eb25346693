package ratelimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/backpressure"
)

// Guards against more requests than one and a half times the limit in 4 s, and 5.
func TestTokensOfTwoLimitersStayWithinBound(t *testing.T) {
	const (
		window = 4 * time.Second
		factor = 1.5
		slack  = 5
	)
	rapid.Check(t, func(t *rapid.T) {
		server := backpressure.Incarnation{ID: "a"}
		rate := rapid.Float64Range(0, 50).Draw(t, "rate")
		first, second := NewLimiter(), NewLimiter()
		known := Observation{Limit: PerSecond(rate), SentAt: testStart, ReceivedAt: testStart}
		now := testStart
		var granted []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			limiter, fallback := first, false
			if rapid.Bool().Draw(t, "fallback") {
				limiter, fallback = second, true
			}
			if limiter.Decide(now, Request{Server: server, Known: known, Fallback: fallback}).Granted {
				granted = append(granted, now)
			}
			if limiter == first && rapid.IntRange(0, 20).Draw(t, "restart") == 0 {
				first = NewLimiter()
			}
		}
		allowed := factor*rate*window.Seconds() + slack
		for i := range granted {
			inWindow := 0
			for _, at := range granted[i:] {
				if at.Sub(granted[i]) <= window {
					inWindow++
				}
			}
			if float64(inWindow) > allowed {
				t.Fatalf("%d tokens within %s at a limit of %.2f a second, %.1f may be issued", inWindow, window, rate, allowed)
			}
		}
	})
}

func TestTokensAreIssuedAtTheLimit(t *testing.T) {
	for _, rate := range []float64{0.5, 1.5, 20} {
		var b Bucket
		issued := 0
		const seconds = 60
		for ms := range seconds * 1000 {
			if b.Take(at(ms), PerSecond(rate)) {
				issued++
			}
		}
		if want := rate * seconds; float64(issued) < want-2 || float64(issued) > want+2 {
			t.Errorf("%d tokens in %d s at %.1f a second", issued, seconds, rate)
		}
	}
}

func TestServerWithLimitZeroIsAskedRarely(t *testing.T) {
	var b Bucket
	issued := 0
	for ms := range 60_000 {
		if b.Take(at(ms), PerSecond(0)) {
			issued++
		}
	}
	if issued < 10 || issued > 13 {
		t.Errorf("%d requests in a minute to a server that takes none", issued)
	}
}

func TestRefusedRequestsReturnOneTokenApart(t *testing.T) {
	var b Bucket
	limit := PerSecond(2)
	for i := 1; i <= 4; i++ {
		if got, want := b.ReturnAfter(at(0), limit), time.Duration(i)*500*time.Millisecond; got != want {
			t.Errorf("request %d returns after %s, want %s", i, got, want)
		}
	}
	if got := b.ReturnAfter(at(60_000), limit); got != 500*time.Millisecond {
		t.Errorf("returns after %s a minute later", got)
	}
	for range 1000 {
		if got := b.ReturnAfter(at(60_000), limit); got > maxReturnDelay+time.Second {
			t.Fatalf("returns after %s", got)
		}
	}
}

func TestWaitCountsRequestsAhead(t *testing.T) {
	var b Bucket
	limit := PerSecond(2)
	if got := b.Wait(at(0), limit, 0); got != 500*time.Millisecond {
		t.Errorf("first token after %s", got)
	}
	if got := b.Wait(at(0), limit, 3); got != 2*time.Second {
		t.Errorf("fourth token after %s", got)
	}
	if got := b.Wait(at(5000), limit, 0); got != 0 {
		t.Errorf("token after %s though one is left", got)
	}
	if got := b.Wait(at(5000), Limit{}, 9); got != 0 {
		t.Errorf("token after %s without a limit", got)
	}
}

// Guards against a burst when a limit is named again after a time without one.
func TestTokensStartEmptyAfterTimeWithoutLimit(t *testing.T) {
	var b Bucket
	b.Take(at(0), PerSecond(2))
	b.Take(at(5000), Limit{})
	if b.Take(at(5001), PerSecond(2)) {
		t.Error("a token is left")
	}
}

func TestLimiterForgetsEndedLimit(t *testing.T) {
	l := NewLimiter()
	server := backpressure.Incarnation{ID: "a"}
	known := Observation{Limit: PerSecond(0), SentAt: at(0), ReceivedAt: at(10)}
	if l.Decide(at(20), Request{Server: server, Known: known}).Granted {
		t.Fatal("granted though the bucket is empty")
	}
	l.Observe(at(100), server, Observation{SentAt: at(50), ReceivedAt: at(100)})
	if !l.Decide(at(110), Request{Server: server, Known: known}).Granted {
		t.Error("a host that has not received the end of the limit brought it back")
	}
	l.Sweep(at(110).Add(recordRetention + time.Millisecond))
	if len(l.servers) != 0 {
		t.Error("a server that nobody asks for is kept")
	}
}
