package backends

import "time"

// outageDetector decides from an entry's calls whether the store was away. A call without an
// answer on a connection in use shows that the store failed, or the connection alone: only a
// call on a new connection tells which.
type outageDetector struct {
	// readAt is when the registrations were read last.
	readAt time.Time
	// suspectedSince is since when a connection may have been silent, failingSince since when
	// the store has failed; zero if the registrations were read since then.
	suspectedSince time.Time
	failingSince   time.Time
}

// connectionLost records that a call on a connection in use had no answer since a time.
func (d *outageDetector) connectionLost(since time.Time) {
	if d.suspectedSince.IsZero() {
		d.suspectedSince = latest(since, d.readAt)
	}
}

// storeFailed records that the store had no proper answer since a time, or none on a new
// connection. A connection that was lost before had none for the same reason.
func (d *outageDetector) storeFailed(since time.Time) {
	if !d.failingSince.IsZero() {
		return
	}
	d.failingSince = latest(since, d.readAt)
	if !d.suspectedSince.IsZero() && d.suspectedSince.Before(d.failingSince) {
		d.failingSince = d.suspectedSince
	}
}

// read records a read on a new connection, which was sent at a time, and returns how long the
// store was away before it; zero if it wasn't for at least shortest. An answer that took as
// long shows that the store was away as well.
func (d *outageDetector) read(sentAt, now time.Time, shortest time.Duration) time.Duration {
	if !d.suspectedSince.IsZero() && now.Sub(sentAt) >= shortest {
		d.storeFailed(sentAt)
	}
	var away time.Duration
	if !d.failingSince.IsZero() && now.Sub(d.failingSince) >= shortest {
		away = now.Sub(d.failingSince)
	}
	d.suspectedSince = time.Time{}
	d.failingSince = time.Time{}
	d.readAt = latest(d.readAt, now)
	return away
}

// relayRead records that a relay has read the registrations at a time.
func (d *outageDetector) relayRead(at time.Time) {
	if at.After(d.suspectedSince) {
		d.suspectedSince = time.Time{}
	}
	if at.After(d.failingSince) {
		d.failingSince = time.Time{}
	}
	d.readAt = latest(d.readAt, at)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
