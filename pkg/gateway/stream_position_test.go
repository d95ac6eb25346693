package gateway

import "testing"

// TestGapAfterFirstEventIsNotJoined has a stream break off after one event, and a second
// server leave one out.
func TestGapAfterFirstEventIsNotJoined(t *testing.T) {
	got, _ := resumeWith(t, events(1, 1), events(3, 6), "")
	checkNotComplete(t, got, events(1, 1))
}
