package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minBegunCrashes and minCrashes are the numbers of crashes that convict a
	// fingerprint: those in which the server had just begun a response to a request
	// with it, and these together with those in which no response had just begun.
	minBegunCrashes = 3
	minCrashes      = 6
	// extraCrashes is how many more are needed if the fingerprint was part of a start
	// before, or if another one was with it on a request in overlapCrashes of them, so
	// that it may only have accompanied that one.
	extraCrashes   = 2
	overlapCrashes = 2
	// minEvidenceSpan is the time from the first of these crashes to a verdict, so that
	// starts at other servers arrive first.
	minEvidenceSpan = time.Second

	// VerdictTTL is how long requests are refused after a verdict.
	VerdictTTL = 10 * time.Minute
	// probation is how long after that a single crash renews the verdict.
	probation = time.Hour
	// maxVerdicts bounds the verdicts, including those on probation.
	maxVerdicts = 64

	// reviewInterval is the time between two reviews without new evidence.
	reviewInterval = 250 * time.Millisecond

	// maxWatched bounds the fingerprints under suspicion that are published,
	// watchTTL is how long after their last crash they are.
	maxWatched = 64
	watchTTL   = time.Minute
)

// verdict is a signature that was convicted.
type verdict struct {
	signature Signature
	grounds   Grounds
	at        time.Time
	lastCrash time.Time
}

// changed returns the verdict after a change.
func (v *verdict) changed(change Change) Verdict {
	return Verdict{Change: change, Signature: v.signature, Grounds: v.grounds}
}

func (v *verdict) isActive(now time.Time) bool { return now.Sub(v.at) < VerdictTTL }

// Judge decides which requests crash servers, from the evidence of all hosts. Its
// methods return the changed verdicts. The zero value has no evidence.
type Judge struct {
	incidents []*incident
	starts    History
	verdicts  []*verdict
	state     *State
	// reviewAt is when the passing of time may change a verdict.
	reviewAt time.Time
}

// State returns what all hosts need to know; nil before the first crash.
func (j *Judge) State() *State { return j.state }

// RecordCrash records what a host reports of a crash.
func (j *Judge) RecordCrash(now time.Time, crash Crash) []Verdict {
	for _, start := range crash.Starts {
		j.starts.Record(start.Fingerprint, start.At)
	}
	at := slices.IndexFunc(j.incidents, func(i *incident) bool { return i.isOf(&crash) })
	if at < 0 {
		at = len(j.incidents)
		j.incidents = append(j.incidents, newIncident(crash.At))
	}
	j.incidents[at].add(&crash)
	changes := j.renew(now, &crash)
	return append(changes, j.review(now)...)
}

// RecordStarts records that responses have started.
func (j *Judge) RecordStarts(now time.Time, starts []Start) []Verdict {
	var changes []Verdict
	for _, start := range starts {
		j.starts.Record(start.Fingerprint, start.At)
		changes = append(changes, j.reconsider(start)...)
	}
	return append(changes, j.review(now)...)
}

// Update reviews the evidence if it is time.
func (j *Judge) Update(now time.Time) []Verdict {
	if (len(j.incidents) == 0 && len(j.verdicts) == 0) || now.Before(j.reviewAt) {
		return nil
	}
	return j.review(now)
}

// review convicts what the evidence suffices for by now, and ends what has expired.
func (j *Judge) review(now time.Time) []Verdict {
	j.reviewAt = now.Add(reviewInterval)
	changes := j.expire(now)
	for {
		convicted, ok := j.convict(now)
		if !ok {
			break
		}
		changes = append(changes, convicted)
	}
	j.publish(now)
	return changes
}

// expire discards old evidence and ends verdicts.
func (j *Judge) expire(now time.Time) []Verdict {
	j.incidents = slices.DeleteFunc(j.incidents, func(i *incident) bool { return now.Sub(i.at) > incidentRetention })
	if excess := len(j.incidents) - maxIncidents; excess > 0 {
		j.incidents = slices.Delete(j.incidents, 0, excess)
	}
	j.verdicts = slices.DeleteFunc(j.verdicts, func(v *verdict) bool { return now.Sub(v.at) > VerdictTTL+probation })
	if excess := len(j.verdicts) - maxVerdicts; excess > 0 {
		j.verdicts = slices.Delete(j.verdicts, 0, excess)
	}
	var changes []Verdict
	for _, v := range j.verdicts {
		if j.state != nil && !v.isActive(now) && j.state.lists(v.signature) {
			changes = append(changes, v.changed(Expired))
		}
	}
	return changes
}

// reconsider applies a start to the verdicts: what has started since the last crash
// doesn't crash servers.
func (j *Judge) reconsider(start Start) []Verdict {
	var changes []Verdict
	j.verdicts = slices.DeleteFunc(j.verdicts, func(v *verdict) bool {
		if !slices.Contains(v.signature, start.Fingerprint) || !start.At.After(v.lastCrash) {
			return false
		}
		if len(v.signature) > 1 {
			v.signature = v.signature.without(start.Fingerprint)
			changes = append(changes, v.changed(Narrowed))
			return false
		}
		changes = append(changes, v.changed(Acquitted))
		return true
	})
	return changes
}

// renew convicts signatures on probation again that a crash matches.
func (j *Judge) renew(now time.Time, crash *Crash) []Verdict {
	var changes []Verdict
	for _, suspect := range crash.Suspects {
		for _, known := range j.verdicts {
			if !known.signature.Matches(suspect.Fingerprints) {
				continue
			}
			known.lastCrash = crash.At
			if suspect.Begun && !known.isActive(now) {
				known.at = now
				known.grounds = Grounds{Crashes: 1, Begun: 1, FirstCrash: crash.At}
				changes = append(changes, known.changed(Convicted))
			}
		}
	}
	return changes
}

// evidence is what speaks against a fingerprint.
type evidence struct {
	fingerprint Fingerprint
	// incidents are those since the last start with the fingerprint.
	incidents []*incident
	begun     int
	// hasStarted is set if the fingerprint was part of a start before them.
	hasStarted bool
}

// suffices reports whether the evidence convicts the fingerprint if no other one
// explains it. extra is added to the crashes that it takes.
func (e *evidence) suffices(now time.Time, extra int) bool {
	if len(e.incidents) == 0 || now.Sub(e.incidents[0].at) < minEvidenceSpan {
		return false
	}
	if e.hasStarted {
		extra += extraCrashes
	}
	return e.begun >= minBegunCrashes+extra || len(e.incidents) >= minCrashes+extra
}

// isLessLikely reports whether a fingerprint was part of a start and the other one
// never was.
func (e *evidence) isLessLikely(than *evidence) bool { return e.hasStarted && !than.hasStarted }

// covers reports whether a fingerprint was a suspect in all incidents of another one.
func (e *evidence) covers(other *evidence) bool {
	return !slices.ContainsFunc(other.incidents, func(i *incident) bool { return !slices.Contains(e.incidents, i) })
}

// collect returns the evidence against all suspects, by fingerprint. Incidents that a
// verdict explains count for nothing else.
func (j *Judge) collect(now time.Time) map[Fingerprint]*evidence {
	slices.SortStableFunc(j.incidents, func(a, b *incident) int { return a.at.Compare(b.at) })
	all := make(map[Fingerprint]*evidence)
	for _, i := range j.incidents {
		if slices.ContainsFunc(j.verdicts, func(v *verdict) bool { return i.hasMatch(v.signature) }) {
			continue
		}
		for fingerprint, begun := range i.begun {
			started, hasStarted := j.starts.Last(now, fingerprint)
			if (hasStarted && !i.at.After(started)) || (i.anyBegun && !begun) {
				continue
			}
			e := all[fingerprint]
			if e == nil {
				e = &evidence{fingerprint: fingerprint, hasStarted: hasStarted}
				all[fingerprint] = e
			}
			e.incidents = append(e.incidents, i)
			if begun {
				e.begun++
			}
		}
	}
	return all
}

// convict returns the next verdict that the evidence suffices for.
func (j *Judge) convict(now time.Time) (Verdict, bool) {
	all := j.collect(now)
	var best Signature
	var bestEvidence *evidence
	for _, fingerprint := range slices.Sorted(maps.Keys(all)) {
		e := all[fingerprint]
		if !e.suffices(now, 0) || (isAccompanied(e, all) && !e.suffices(now, extraCrashes)) {
			continue
		}
		// Of several signatures, the one that matches the fewest requests goes first.
		signature, ok := signatureOf(e, all)
		if ok && len(signature) > len(best) {
			best, bestEvidence = signature, e
		}
	}
	if best == nil {
		return Verdict{}, false
	}
	convicted := &verdict{
		signature: best,
		grounds:   Grounds{Crashes: len(bestEvidence.incidents), Begun: bestEvidence.begun, FirstCrash: bestEvidence.incidents[0].at},
		at:        now,
		lastCrash: bestEvidence.incidents[len(bestEvidence.incidents)-1].at,
	}
	j.verdicts = append(j.verdicts, convicted)
	return convicted.changed(Convicted), true
}

// signatureOf returns the signature of a fingerprint: with it, all others that were
// on the same requests in all of its incidents. It returns false if a fingerprint of
// other requests explains the incidents as well.
func signatureOf(e *evidence, all map[Fingerprint]*evidence) (Signature, bool) {
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
func isAccompanied(e *evidence, all map[Fingerprint]*evidence) bool {
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

// publish replaces the published state if it has changed.
func (j *Judge) publish(now time.Time) {
	next := &State{Watched: j.watched(now)}
	for _, v := range j.verdicts {
		if v.isActive(now) {
			next.Verdicts = append(next.Verdicts, v.signature)
		}
	}
	isSame := j.state != nil && slices.Equal(j.state.Watched, next.Watched) &&
		slices.EqualFunc(j.state.Verdicts, next.Verdicts, func(a, b Signature) bool { return slices.Equal(a, b) })
	if !isSame {
		j.state = next
	}
}

// watched returns the fingerprints under suspicion, in ascending order. If there are
// too many, those in most crashes stay.
func (j *Judge) watched(now time.Time) []Fingerprint {
	var suspects []*evidence
	for _, e := range j.collect(now) {
		if now.Sub(e.incidents[len(e.incidents)-1].at) < watchTTL {
			suspects = append(suspects, e)
		}
	}
	slices.SortFunc(suspects, func(a, b *evidence) int {
		return cmp.Or(cmp.Compare(len(b.incidents), len(a.incidents)), cmp.Compare(b.begun, a.begun), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	watched := make([]Fingerprint, 0, min(len(suspects), maxWatched))
	for _, e := range suspects[:min(len(suspects), maxWatched)] {
		watched = append(watched, e.fingerprint)
	}
	// The fingerprints of verdicts are watched too: a start narrows or ends them.
	for _, v := range j.verdicts {
		if v.isActive(now) {
			watched = append(watched, v.signature...)
		}
	}
	slices.Sort(watched)
	return slices.Compact(watched)
}
