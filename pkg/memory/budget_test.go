package memory

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testLimits() Limits {
	return Limits{Total: 1000, Reserved: 200, SmallClaim: 100, MinStall: time.Second, MaxClaims: 20}
}

// open adds a claim that is cut off without effect.
func open(t *testing.T, b *Budget, size int64) *Claim {
	t.Helper()
	c := NewClaim(testStart, func() bool { return true })
	if ok, _ := b.Open(testStart, c, size); !ok {
		t.Fatal("not opened")
	}
	return c
}

// Guards against large claims that take the part of the small ones.
func TestReservedPartIsForSmallClaims(t *testing.T) {
	b := NewBudget(testLimits())
	large, small := open(t, b, 1), open(t, b, 1)
	if ok, _ := b.Reserve(testStart, large, Body, 798); !ok {
		t.Error("large claim refused within its part")
	}
	if ok, _ := b.Reserve(testStart, large, Body, 1); ok {
		t.Error("large claim was granted the reserved part")
	}
	if ok, _ := b.Reserve(testStart, small, Head, 99); !ok {
		t.Error("small claim refused within the reserved part")
	}
}

// Guards against cutting off those that make progress, are served, or hold little.
func TestLongestHolderIsCutOffFirst(t *testing.T) {
	b := NewBudget(testLimits())
	served, moving, large, old := open(t, b, 200), open(t, b, 300), open(t, b, 200), open(t, b, 90)
	now := testStart.Add(10 * time.Second)
	served.SetWaiting(testStart, false)
	moving.Moved(now, minProgressBytes)
	ok, victims := b.Reserve(now, open(t, b, 1), Body, 150)
	if ok || len(victims) != 1 || victims[0] != large {
		t.Errorf("granted %t, victims %v, want the largest stalled claim", ok, victims)
	}
	large.CutOff()
	if _, victims = b.Reserve(now, open(t, b, 1), Body, 150); len(victims) != 0 {
		t.Errorf("%d more victims although one leaves", len(victims))
	}
	b.Close(large)
	if ok, _ := b.Reserve(now, open(t, b, 1), Body, 150); !ok {
		t.Error("refused although a claim was closed")
	}
	_ = old
}

// Guards against a cut of a request that has begun to run.
func TestServedClaimIsNotCutOff(t *testing.T) {
	var c *Claim
	c = NewClaim(testStart, func() bool { return c.Waits() })
	c.SetWaiting(testStart, false)
	if c.CutOff() {
		t.Error("cut off while it was served")
	}
	c.SetWaiting(testStart, true)
	if !c.CutOff() || c.CutOff() {
		t.Error("want one cut")
	}
}

// Guards against slow senders that count as moving.
func TestFewBytesAreNoProgress(t *testing.T) {
	c := NewClaim(testStart, nil)
	for i := range minProgressBytes - 1 {
		c.Moved(testStart.Add(time.Duration(i)*time.Millisecond), 1)
	}
	if got := c.Stall(testStart.Add(time.Minute)); got != time.Minute {
		t.Errorf("stall %s, want 1m", got)
	}
}

// Guards against totals that drift from what is held, and limits that are exceeded.
func TestBudgetNeverExceedsItsLimits(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limits := testLimits()
		b := NewBudget(limits)
		var claims []*Claim
		now := testStart
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(r, "ms")) * time.Millisecond)
			n := int64(rapid.IntRange(0, 500).Draw(r, "bytes"))
			kind := rapid.SampledFrom([]Kind{Head, Body, Response}).Draw(r, "kind")
			if len(claims) == 0 || rapid.IntRange(0, 3).Draw(r, "open") == 0 {
				c := NewClaim(now, func() bool { return true })
				if ok, _ := b.Open(now, c, n); ok {
					claims = append(claims, c)
				}
				continue
			}
			i := rapid.IntRange(0, len(claims)-1).Draw(r, "claim")
			switch c := claims[i]; rapid.IntRange(0, 4).Draw(r, "action") {
			case 0:
				b.Close(c)
				claims = append(claims[:i], claims[i+1:]...)
			case 1:
				b.EndRequest(c)
			case 2:
				b.Release(c, kind, min(n, c.held[kind]))
			default:
				b.Reserve(now, c, kind, n)
			}
			var sum int64
			for _, c := range claims {
				sum += c.total
			}
			if sum != b.total || b.total > limits.Total || b.Claims() != len(claims) || len(claims) > limits.MaxClaims {
				r.Fatalf("claims hold %d, total %d, %d claims of %d", sum, b.total, b.Claims(), len(claims))
			}
		}
	})
}

// Guards against a reservation that is refused although memory is released while it waits.
func TestReservationWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(testLimits(), time.Second, func() {})
		first, second := NewClaim(time.Now(), func() bool { return true }), NewClaim(time.Now(), func() bool { return true })
		if p.Open(first, 100, 0) != nil || p.Open(second, 100, 0) != nil || p.Reserve(first, Body, 600) != nil {
			t.Fatal("not granted")
		}
		time.AfterFunc(100*time.Millisecond, func() { p.EndRequest(first) })
		if err := p.Reserve(second, Body, 500); err != nil {
			t.Error(err)
		}
		if err := p.TryReserve(first, Body, 500); !errors.Is(err, ErrExhausted) {
			t.Errorf("error %v, want %v", err, ErrExhausted)
		}
		started := time.Now()
		if err := p.Reserve(first, Body, 900); !errors.Is(err, ErrExhausted) || time.Since(started) != time.Second {
			t.Errorf("error %v after %s, want %v after 1s", err, time.Since(started), ErrExhausted)
		}
	})
}

// Guards against buffers that lose bytes, or reserve other than they allocate.
func TestBufferReservesWhatItAllocates(t *testing.T) {
	for _, size := range []int{0, 1, 2047, 2048, 2049, 16383, 16384, 16385, 70_000} {
		for _, known := range []bool{false, true} {
			held, most := int64(0), int64(0)
			b := Buffer{
				Reserve: func(n int64) error { held += n; most = max(most, held); return nil },
				Release: func(n int64) { held -= n },
				Length:  -1, Limit: 70_000,
			}
			if known {
				b.Length = int64(size)
			}
			text := strings.Repeat("x", size)
			data, err := b.ReadAll(strings.NewReader(text))
			if string(data) != text || err != nil || held != int64(cap(data)) || most > 4*max(int64(size), unknownFirst) {
				t.Errorf("size %d known %t: %d bytes, error %v, reserved %d for %d, most %d", size, known, len(data), err, held, cap(data), most)
			}
			b.Limit = int64(size) - 1
			if _, err := b.ReadAll(strings.NewReader(text)); size > 0 && !errors.Is(err, ErrTooLarge) {
				t.Errorf("size %d: error %v, want %v", size, err, ErrTooLarge)
			}
		}
	}
}
