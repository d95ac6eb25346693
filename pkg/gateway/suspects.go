package gateway

import (
	"bytes"
	"context"
	"time"

	"teaselgauge.example/teaselgauge/pkg/attempt"
	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/quarantine"
)

// startGrace is the time after the first event of a stream from which the server has
// survived the start of the response.
const startGrace = 500 * time.Millisecond

// fingerprints returns the fingerprints of a request; none before the site's secret
// is known.
func (h *handler) fingerprints(caller forward.RequestInfo) []quarantine.Fingerprint {
	fingerprinter := h.fingerprinter.Load()
	if fingerprinter == nil {
		return nil
	}
	fingerprints := make([]quarantine.Fingerprint, 0, len(caller.PromptParts))
	for _, part := range caller.PromptParts {
		fingerprints = append(fingerprints, fingerprinter.PromptPart(part))
	}
	return fingerprints
}

// recordFirstEvent records when the first complete event was received. data is what
// was read and not yet forwarded.
func (x *exchange) recordFirstEvent(data []byte) {
	if x.progress.firstEvent.IsZero() && bytes.Contains(data, eventTerminator) {
		x.progress.firstEvent = time.Now()
	}
}

// hasStarted reports whether a server has survived the start of the response.
func (x *exchange) hasStarted(now time.Time) bool {
	first := x.progress.firstEvent
	return !first.IsZero() && now.Sub(first) >= startGrace
}

// recordCrashSuspect records a request that may have crashed its server: one that
// failed with its connection, before or just after the start of the response.
func (x *exchange) recordCrashSuspect(ctx context.Context, target *server, event attempt.Event) {
	now := time.Now()
	if (event != attempt.Lost && event != attempt.Broken) || ctx.Err() != nil || x.hasStarted(now) || len(x.fingerprints) == 0 {
		return
	}
	x.handler.crashes.requestFailed(now, target, suspectRequest{
		requestID:    x.caller.RequestID,
		fingerprints: x.fingerprints,
		begun:        x.headerReceived,
	})
}
