package agent

import "time"

// leave makes the agent refuse new requests permanently.
func (c *controller) leave(cause string) {
	c.hostLeavingUntil = time.Time{}
	c.setLeaving(cause)
}

// hostMarkedLeaving makes the agent refuse new requests while entries keep
// reporting that the host list marks its host as leaving.
func (c *controller) hostMarkedLeaving(now time.Time) {
	if c.leaving && c.hostLeavingUntil.IsZero() {
		return
	}
	c.hostLeavingUntil = now.Add(hostLeavingTTL)
	c.setLeaving("host list")
}

func (c *controller) setLeaving(cause string) {
	if c.leaving {
		return
	}
	c.leaving = true
	c.logger.Info("leaving, new requests are refused", "cause", cause, "queued", c.queue.Len(), "running", c.queue.Running())
}

// expireHostLeaving accepts requests again when no entry has reported the host as
// leaving for hostLeavingTTL.
func (c *controller) expireHostLeaving(now time.Time) {
	if !c.leaving || c.hostLeavingUntil.IsZero() || now.Before(c.hostLeavingUntil) {
		return
	}
	c.leaving = false
	c.hostLeavingUntil = time.Time{}
	c.logger.Info("no longer leaving, requests are accepted", "cause", "host list")
}

// isQuiescent reports whether nothing is pending that depends on time. An arriving
// request ends this state through wakeup.
func (c *controller) isQuiescent() bool {
	return c.isIdle() && (c.models == nil || c.models.isQuiescent())
}

// isDrained reports whether no request is queued or running and no response is being
// forwarded.
func (c *controller) isDrained() bool {
	return c.isIdle() && c.streams.Load() == 0
}
