// Package wire is the inner protocol between entry hosts and agents: typed
// messages in CBOR behind a four-byte length, on QUIC streams with mutual TLS.
//
// A caller's request takes one bidirectional stream: the entry sends Request,
// the agent answers with one Refusal, or with Accepted followed by Head, Chunk
// frames and End. A stream that ends without Refusal or End has an unknown
// outcome. Control calls (Probe, Sync, LoadGrant, Leave) take one stream each,
// one request and one answer.
package wire
