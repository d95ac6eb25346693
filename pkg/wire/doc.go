// Package wire implements the internal protocol between entries and agents: typed
// messages in CBOR with a four-byte length prefix, on QUIC streams with mutual TLS.
//
// A caller's request uses one bidirectional stream: the entry sends Request, and
// the agent responds with one Refusal, or with Accepted followed by Head, Chunk
// frames and End. If a stream ends without Refusal or End, the outcome is unknown.
// A control call (Probe, Sync, LoadRequest) uses one stream for one request and one
// response.
//
// A gateway is an entry in front of an external platform. It subscribes to the status
// of agents (Subscribe) and follows other gateways (Follow) on long-lived streams, and
// opens one stream for each lease (Acquire).
package wire
