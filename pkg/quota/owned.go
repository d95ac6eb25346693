package quota

import "time"

// substitutionGap is the time without requests after which an outage of the owner is
// another one.
const substitutionGap = 3 * time.Second

// unknownShare is what an entry without a share brings to a substitute, as a part of an
// equal share. The owner doesn't keep anything back for it.
const unknownShare = 0.75

// owned is the state of an organisation's quota at its owner.
type owned struct {
	bucket bucket
	since  time.Time
	usedAt time.Time
	// substituteUntil is when this entry is the owner again, if it now substitutes for
	// the owner.
	substituteUntil time.Time
	// substitutedAt is when a request to the substitute last came.
	substitutedAt time.Time
	entries       map[string]*entryRecord
}

// entryRecord is what the owner knows of an entry.
type entryRecord struct {
	incarnation int64
	reportedAt  time.Time
	demand      float64
	// told is the share that the entry may use without credit.
	told float64
	// brought is the share with which the entry came to a substitute.
	brought float64
}

// isSubstitute reports whether the quota is issued for an owner that may do so too.
func (s *owned) isSubstitute(now time.Time) bool { return now.Before(s.substituteUntil) }

// refill adds what the time since the last call yields, without the shares that are
// kept back.
func (s *owned) refill(now time.Time, limit Limit) {
	from := s.bucket.refilledAt
	if !now.After(from) {
		return
	}
	s.bucket.refilledAt = now
	elapsed := now.Sub(from).Seconds()
	if s.isSubstitute(now) {
		s.bucket.add(limit.PerSecond*elapsed*s.available(now, limit), limit.Capacity*s.available(now, limit))
		return
	}
	for _, e := range s.entries {
		elapsed -= e.told * overlap(from, now, e.reportedAt.Add(awayAfter), e.reportedAt.Add(shareLifetime)).Seconds()
	}
	settled := s.since.Add(settleTime)
	elapsed -= (1 - settlingRate) * overlap(from, now, s.since, settled).Seconds()
	s.bucket.add(limit.PerSecond*max(elapsed, 0), limit.Capacity*s.available(now, limit))
}

// record applies what a request says about its entry. An entry that has restarted has
// forgotten its share.
func (s *owned) record(now time.Time, limit Limit, r Request) {
	s.setSubstitute(now, limit, r.Substitute)
	e := s.entries[r.Entry]
	if e == nil || e.incarnation != r.Incarnation {
		e = &entryRecord{incarnation: r.Incarnation}
		s.entries[r.Entry] = e
	}
	if r.Substitute && (e.brought == 0 || now.Sub(e.reportedAt) > awayAfter) {
		e.brought = r.Share
		if r.Share == 0 && r.Entries > 0 {
			e.brought = unknownShare / float64(r.Entries)
		}
	}
	e.reportedAt = now
	e.demand = r.Demand
	for name, other := range s.entries {
		if now.Sub(other.reportedAt) > shareLifetime {
			delete(s.entries, name)
		}
	}
}

// setSubstitute sets whether the quota is issued for an owner that may do so too. What
// an earlier outage of the owner has left isn't issued, only a part for the first requests.
func (s *owned) setSubstitute(now time.Time, limit Limit, substitute bool) {
	if !substitute {
		s.substituteUntil = time.Time{}
		return
	}
	if now.Sub(s.substitutedAt) > substitutionGap {
		s.bucket.units = limit.Spare * limit.Capacity
		for _, e := range s.entries {
			e.brought = 0
		}
	}
	s.substitutedAt = now
	s.substituteUntil = now.Add(shareLifetime)
}

// available returns the part of the rate that may be issued.
func (s *owned) available(now time.Time, limit Limit) float64 {
	if s.isSubstitute(now) {
		brought := 0.0
		for _, e := range s.entries {
			if e.told == 0 || now.Sub(e.reportedAt) <= awayAfter {
				brought += e.brought
			}
		}
		return min(max(brought, limit.Spare), 1)
	}
	away := 0.0
	for _, e := range s.entries {
		if now.Sub(e.reportedAt) > awayAfter {
			away += e.told
		}
	}
	return max(1-away, 0)
}

// share returns the part of the rate that an entry may use while nobody issues
// credit: its part of the demand of those that report.
func (s *owned) share(now time.Time, limit Limit, r Request) float64 {
	if !r.Frequent {
		return 0
	}
	total := 0.0
	for _, e := range s.entries {
		if now.Sub(e.reportedAt) <= awayAfter {
			total += e.demand
		}
	}
	if total <= 0 {
		return 0
	}
	return min(r.Demand/total, 1) * s.available(now, limit)
}

// held is the credit that all entries together may hold ahead of need.
func (s *owned) held(limit Limit) float64 { return limit.PerSecond * maxAhead.Seconds() }

// overlap returns the length of the common part of two spans of time.
func overlap(from, to, begin, end time.Time) time.Duration {
	if begin.Before(from) {
		begin = from
	}
	if end.After(to) {
		end = to
	}
	return max(end.Sub(begin), 0)
}
