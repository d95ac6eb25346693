package lists

import (
	"errors"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// TestRegisterRevisionOnlyIncreases offers valid and invalid revisions in any
// order and compares the register with the highest valid one.
func TestRegisterRevisionOnlyIncreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		register := NewRegister()
		var highest int64
		invalid := make(map[int64]bool)
		offers := rapid.SliceOfN(rapid.Int64Range(-1, 12), 1, 30).Draw(t, "revisions")
		for _, revision := range offers {
			isInvalid, known := invalid[revision]
			if !known {
				isInvalid = rapid.Bool().Draw(t, "bad")
				invalid[revision] = isInvalid
			}
			offer(register, revision, isInvalid)
			if !isInvalid {
				highest = max(highest, revision)
			}
			checkRegister(t, register, highest, invalid)
		}
	})
}

func offer(register *Register, revision int64, isInvalid bool) {
	plans, allowances := sample()
	if isInvalid {
		plans.Plans[0].Weight = -1
	}
	register.Offer(Snapshot{Revision: revision, Plans: plans, Allowances: allowances})
}

func checkRegister(t *rapid.T, register *Register, highest int64, invalid map[int64]bool) {
	if register.Revision() != highest {
		t.Fatalf("revision %d is active, want %d", register.Revision(), highest)
	}
	wantRejected := int64(0)
	for revision, isInvalid := range invalid {
		if isInvalid && revision > highest {
			wantRejected = max(wantRejected, revision)
		}
	}
	rejected := register.Rejected()
	if wantRejected == 0 && rejected != nil || wantRejected != 0 && (rejected == nil || rejected.Revision != wantRejected) {
		t.Fatalf("rejected %+v, want revision %d", rejected, wantRejected)
	}
	if register.LastEvaluated() != max(highest, wantRejected) {
		t.Fatalf("highest evaluated revision %d, want %d", register.LastEvaluated(), max(highest, wantRejected))
	}
}

// TestRegisterConcurrentOffers observes the active revision during concurrent offers.
func TestRegisterConcurrentOffers(t *testing.T) {
	const offers = 200
	register := NewRegister()
	var writers sync.WaitGroup
	for writer := range 4 {
		writers.Go(func() {
			for i := range offers {
				offer(register, int64(i*4+writer+1), false)
			}
		})
	}
	done := make(chan error, 1)
	go func() { done <- watchRegister(register, offers*4) }()
	writers.Wait()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func watchRegister(register *Register, last int64) error {
	var seen int64
	for seen < last {
		revision := register.Revision()
		if revision < seen {
			return errors.New("the active revision decreased")
		}
		seen = revision
	}
	return nil
}

func TestRegisterKeepsLastValidRevision(t *testing.T) {
	register := NewRegister()
	offer(register, 3, false)
	register.Reject(5, errors.New("unreadable"))
	if register.Revision() != 3 || register.Rejected() == nil || register.Rejected().Reason != "unreadable" {
		t.Errorf("revision %d, rejected %+v", register.Revision(), register.Rejected())
	}
	offer(register, 6, false)
	if register.Revision() != 6 || register.Rejected() != nil {
		t.Errorf("revision %d, rejected %+v", register.Revision(), register.Rejected())
	}
}
