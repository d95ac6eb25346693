package quarantine

import (
	"slices"
	"time"
)

const (
	// minBegunCrashes and minCrashes are the numbers of crashes after which a
	// fingerprint is blocked: those in which the server had just begun a response to a
	// request with it, and these together with those in which no response had just
	// begun.
	minBegunCrashes = 3
	minCrashes      = 6
	// extraCrashes is how many more are needed if the fingerprint was part of a start
	// before, or if another one was with it on a request in overlapCrashes of them, so
	// that it may only have accompanied that one.
	extraCrashes   = 2
	overlapCrashes = 2
	// minEvidenceSpan is the time from the first of these crashes to a block, so that
	// starts at other servers arrive first.
	minEvidenceSpan = time.Second
)

// suspicion is the evidence against a fingerprint.
type suspicion struct {
	fingerprint Fingerprint
	// incidents are those since the last start with the fingerprint.
	incidents []*incident
	// begun counts those in which the response to a request with it had begun.
	begun int
	// explained counts the incidents that a block explains as well, and begunBeyond
	// those of begun that none explains.
	explained   int
	begunBeyond int
	// hasStarted is set if the fingerprint was part of a start before them.
	hasStarted bool
}

// add adds an incident with the fingerprint. isExplained is set if a block explains it
// as well.
func (e *suspicion) add(i *incident, isExplained bool) {
	e.incidents = append(e.incidents, i)
	begun := i.begun[e.fingerprint]
	if begun {
		e.begun++
	}
	if isExplained {
		e.explained++
	} else if begun {
		e.begunBeyond++
	}
}

// suffices reports whether the evidence is enough to block the fingerprint if no other
// one explains it. extra is added to the crashes that it takes.
func (e *suspicion) suffices(now time.Time, extra int) bool {
	if len(e.incidents) == 0 || now.Sub(e.incidents[0].at) < minEvidenceSpan {
		return false
	}
	if e.explained > 0 && e.begunBeyond == 0 {
		return false
	}
	if e.hasStarted {
		extra += extraCrashes
	}
	return e.begun >= minBegunCrashes+extra || len(e.incidents) >= minCrashes+extra
}

// isLessLikely reports whether a fingerprint was part of a start and the other one
// never was.
func (e *suspicion) isLessLikely(than *suspicion) bool { return e.hasStarted && !than.hasStarted }

// covers reports whether a fingerprint was a suspect in all incidents of another one.
func (e *suspicion) covers(other *suspicion) bool {
	return !slices.ContainsFunc(other.incidents, func(i *incident) bool { return !slices.Contains(e.incidents, i) })
}

// signatureOf returns the signature of a fingerprint: with it, all others that were
// on the same requests in all of its incidents. It returns false if a fingerprint of
// other requests explains the incidents as well.
func signatureOf(e *suspicion, all map[Fingerprint]*suspicion) (Signature, bool) {
	signature := Signature{e.fingerprint}
	for _, other := range all {
		if other == e || other.isLessLikely(e) || len(other.incidents) < len(e.incidents) || !other.covers(e) {
			continue
		}
		if slices.ContainsFunc(e.incidents, func(i *incident) bool { return !i.hasTogether(e.fingerprint, other.fingerprint) }) {
			return nil, false
		}
		signature = append(signature, other.fingerprint)
	}
	slices.Sort(signature)
	return signature, true
}

// isAccompanied reports whether another fingerprint, which isn't in all incidents, was
// with this one on a request in several of them.
func isAccompanied(e *suspicion, all map[Fingerprint]*suspicion) bool {
	for _, other := range all {
		if other == e || other.isLessLikely(e) || len(other.incidents) < overlapCrashes || other.covers(e) {
			continue
		}
		together := 0
		for _, i := range e.incidents {
			if i.hasTogether(e.fingerprint, other.fingerprint) {
				together++
			}
		}
		if together >= overlapCrashes {
			return true
		}
	}
	return false
}
