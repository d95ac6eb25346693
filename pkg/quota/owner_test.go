package quota

import (
	"testing"
	"time"
)

var testLimit = Limit{PerSecond: 100, Capacity: 100, Spare: 0.05}

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// ask asks for one unit.
func ask(o *Owner, now time.Time, entry string, change func(*Request)) Grant {
	r := Request{Organisation: "ink", Entry: entry, Incarnation: 1, Cost: 1, Demand: 50, Frequent: true, Entries: 4}
	if change != nil {
		change(&r)
	}
	return o.Decide(now, testLimit, r)
}

func TestOwnerStartsEmptyAndFillsBeforeItIsAsked(t *testing.T) {
	o := NewOwner()
	if g := ask(o, at(0), "a", nil); g.Credit != 0 || g.RetryAfter <= 0 {
		t.Errorf("granted %+v by an owner that has just begun", g)
	}
	o = NewOwner()
	o.Own(at(0), "ink", testLimit)
	if g := ask(o, at(10_000), "a", func(r *Request) { r.Cost = 100 }); g.Credit != 100 {
		t.Errorf("granted %+v after 10 s", g)
	}
}

func TestShareOfSilentEntryIsKeptBackUntilItRestarts(t *testing.T) {
	o := NewOwner()
	o.Own(at(0), "ink", testLimit)
	for ms := 5000; ms <= 6000; ms += 500 {
		ask(o, at(ms), "a", nil)
		ask(o, at(ms), "b", nil)
	}
	for ms := 6500; ms <= 8000; ms += 500 {
		ask(o, at(ms), "a", nil)
	}
	if g := ask(o, at(8001), "a", nil); g.PerSecond < 45 || g.PerSecond > 55 {
		t.Errorf("%.0f units a second are issued while b may use its share", g.PerSecond)
	}
	ask(o, at(8002), "b", func(r *Request) { r.Incarnation = 2 })
	if g := ask(o, at(8003), "a", nil); g.PerSecond != 100 {
		t.Errorf("%.0f units a second are issued after the restart of b", g.PerSecond)
	}
}

// Guards against a substitute that issues the whole limit beside the owner.
func TestSubstituteIssuesSharesOfThoseThatAsk(t *testing.T) {
	o := NewOwner()
	substitute := func(r *Request) { r.Substitute, r.Share = true, 0.3 }
	ask(o, at(0), "a", substitute)
	if g := ask(o, at(10), "a", substitute); g.PerSecond < 29 || g.PerSecond > 31 {
		t.Errorf("%.0f units a second are issued for a share of 0.3", g.PerSecond)
	}
	if g := ask(o, at(20), "b", substitute); g.PerSecond < 59 || g.PerSecond > 61 {
		t.Errorf("%.0f units a second are issued for two shares of 0.3", g.PerSecond)
	}
}

func TestEntryThatDoesNotRespondIsAvoidedAndThenGone(t *testing.T) {
	r := NewReachability()
	ranked := []string{"a", "b", "c"}
	r.Failed(at(0), "a")
	if got := r.Targets(at(10), ranked); got[0] != (Target{"b", true}) || got[1] != (Target{"c", true}) {
		t.Errorf("targets %v after a failure", got)
	}
	r.Failed(at(21_000), "a")
	if got := r.Targets(at(21_010), ranked); got[0] != (Target{"b", false}) {
		t.Errorf("targets %v after 21 s without response", got)
	}
	r.Responded("a")
	if got := r.Targets(at(21_020), ranked); got[0] != (Target{"a", false}) {
		t.Errorf("targets %v after a response", got)
	}
}

func TestRetryAfterIsWhenCreditIsExpected(t *testing.T) {
	o := NewOwner()
	o.Own(at(0), "ink", testLimit)
	ask(o, at(10_000), "a", func(r *Request) { r.Cost = 100 })
	first := ask(o, at(10_000), "a", func(r *Request) { r.Cost = 20 }).RetryAfter
	second := ask(o, at(10_000), "a", func(r *Request) { r.Cost = 20 }).RetryAfter
	if first != 200*time.Millisecond || second != 400*time.Millisecond {
		t.Errorf("retry after %s and %s, want 200ms and 400ms", first, second)
	}
}

func TestAccountSpendsCreditUntilItEnds(t *testing.T) {
	var a Account
	a.Apply(at(0), 1, Grant{Credit: 4})
	if outcome, _ := a.Take(at(900), 2); outcome != Charged {
		t.Errorf("outcome %d with credit", outcome)
	}
	if outcome, _ := a.Take(at(1100), 1); outcome != NeedsCredit {
		t.Errorf("outcome %d with credit that has ended", outcome)
	}
	if r := a.Request(at(1100), 1); r.Returned != 1 {
		t.Errorf("%.0f units returned, want 1", r.Returned)
	}
}

func TestShareIsUsedAloneForALimitedTime(t *testing.T) {
	var a Account
	a.Apply(at(0), 0, Grant{Share: 0.5})
	if outcome, _ := a.TakeAlone(at(400), testLimit, 20); outcome != Charged {
		t.Errorf("outcome %d within the share", outcome)
	}
	if outcome, _ := a.TakeAlone(at(410), testLimit, 20); outcome != Refused {
		t.Errorf("outcome %d beyond the share", outcome)
	}
	if outcome, _ := a.TakeAlone(at(20_000), testLimit, 1); outcome != Refused {
		t.Errorf("outcome %d with a share that has ended", outcome)
	}
}
