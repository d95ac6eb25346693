// Package quarantine finds out what crashes backend servers, and keeps requests that
// would crash another one from being sent.
//
// A request can end the server that runs it, and so can all requests that have a part
// of their prompt in common. Requests are described by the fingerprints of such
// properties. The hosts that send requests report two kinds of evidence:
//
//   - A Crash, with the requests that may have caused it: those that failed with the
//     server's connections before their response had started, or just after.
//   - A Start of a response, which shows that none of the request's fingerprints
//     crashes servers.
//
// One Detector receives the evidence of all hosts on a service, as each host sees only a
// part of it. It blocks a Signature: the fingerprints that are in enough crashes since
// they were last part of a start, and that can't be told apart from each other yet. Only
// requests with all fingerprints of a signature are refused. A fingerprint isn't blocked
// while fingerprints of other requests on the same servers explain the crashes as well.
// Servers that crash at the same moment have a common cause, and count once.
//
// A Detector publishes a State: its blocks, and the fingerprints under suspicion, whose
// starts it has to learn of. A List holds the blocks of all detectors at a host.
//
// The package does no I/O. Times are arguments; those of different hosts are never
// compared, evidence carries its age instead.
package quarantine
