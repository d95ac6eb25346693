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
// One Judge receives the evidence of all hosts on a service, as each host sees a part
// of it. It convicts a Signature: the fingerprints that are in enough crashes since
// they were last part of a start, and that can't be told apart from each other. Only
// requests with all fingerprints of a signature are refused. A fingerprint that other
// requests on the crashed servers explain as well convicts nobody, and neither do
// crashes at the same moment, which have a common cause outside of the servers.
//
// A Judge publishes a State: its verdicts, and the fingerprints under suspicion, whose
// starts it has to learn of. A List holds the verdicts of all judges at a host.
//
// The package does no I/O. Times are arguments; those of different hosts are never
// compared, evidence carries its age instead.
package quarantine
