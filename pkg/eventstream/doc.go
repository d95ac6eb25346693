// Package eventstream reads streams of server-sent events and checks that the rest of a
// resumed stream follows what was received before.
//
// A Scanner finds the events in the bytes of a stream. A Sequence accepts the events of
// one stream, which several servers may have sent one after the other: after BeginRun the
// next event comes from another server. It is rejected if it was received before, has no
// ID to tell, or leaves a gap in IDs that counted by one until then.
//
// The package does no I/O.
package eventstream
