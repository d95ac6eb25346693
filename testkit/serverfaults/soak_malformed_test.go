package serverfaults

import (
	"testing"

	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// malformedSpoils are responses that aren't in the protocol, or seem whole and aren't.
var malformedSpoils = []backendserver.SpoilKind{
	backendserver.SpoilStatus, backendserver.SpoilField, backendserver.SpoilTrailer, backendserver.SpoilEarlyReset,
}

// Guards against malformed responses and resets that reach callers as whole responses.
func TestSoakOfMalformedResponsesPassesNoneOn(t *testing.T) {
	playSoaks(t, func() *soak {
		return &soak{spoils: malformedSpoils, spoilPercent: 30, breakPercent: 15, leavePercent: 3, unframedPercent: 50}
	}, (*soak).plannedKinds)
}

// tornSpoils are extra rejections, whole or torn off.
var tornSpoils = []backendserver.SpoilKind{backendserver.SpoilExtraCut, backendserver.SpoilExtraTorn, backendserver.SpoilExtra}

// Guards against rejections that are put together from the first part of an extra one and
// the response behind it.
func TestSoakOfTornRejectionsKeepsRefusalsTrue(t *testing.T) {
	playSoaks(t, func() *soak {
		return &soak{spoils: tornSpoils, spoilPercent: 20, leavePercent: 3, unframedPercent: 10}
	}, (*soak).plannedKinds)
}
