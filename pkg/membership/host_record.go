package membership

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
)

// hostRecord is the state of a host that isn't part of its snapshot.
type hostRecord struct {
	// everListed indicates that the list has contained the host at least once.
	everListed bool
	// hasPermit indicates that a stored permit has named the host.
	hasPermit bool
	// lastContact is when the host was last listed, reported a status or responded;
	// initially when the record was created.
	lastContact time.Time
	// absentSince is the first read of a list without the host since lastContact;
	// zero if there was none.
	absentSince         time.Time
	presence            presence
	failures            int
	retiredIncarnations []string
}

// presence is the conclusion from a host's absence and lack of contact.
type presence uint8

const (
	present presence = iota
	// missing hosts may be gone, which only further reads of the list can show.
	missing
	gone
)

// recordContact records that a host was listed, reported a status or responded.
func (v *View) recordContact(now time.Time, record *hostRecord) {
	record.lastContact = now
	record.absentSince = time.Time{}
	v.setPresence(record, present)
}

func (v *View) record(now time.Time, id string) *hostRecord {
	record, ok := v.hosts[id]
	if !ok {
		record = &hostRecord{lastContact: now}
		v.hosts[id] = record
	}
	return record
}

// suspect records a failed call and returns the end of the suspicion.
func (r *hostRecord) suspect(now time.Time) time.Time {
	period := backoff.Exponential(minSuspicion, maxSuspicion, r.failures)
	r.failures++
	return now.Add(period)
}

func (r *hostRecord) retire(incarnation string) {
	r.retiredIncarnations = append(r.retiredIncarnations, incarnation)
	if len(r.retiredIncarnations) > maxRetiredIncarnations {
		r.retiredIncarnations = r.retiredIncarnations[1:]
	}
}

func clearSuspicion(agent *Agent, record *hostRecord) {
	record.failures = 0
	agent.SuspectedUntil = time.Time{}
	agent.FailingSince = time.Time{}
}
