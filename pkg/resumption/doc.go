// Package resumption decides at which version of its service's software a stream goes on
// when its caller resumes it.
//
// What servers of two versions write doesn't fit together, so a stream with an event is
// bound to the version that made its first event. Callers name a stream by the ID of the
// request that brought this event. What is known of a stream is its Origin, which is kept
// in several places, so that it outlives the loss of some: the entry that served the
// request, the agents beside the servers to which the request was sent, and agents to
// which an entry has handed it over. Each place has Records, bounded in number, which
// expire once the caller can't come back any more.
//
// An agent records the origin with the lease, before the request reaches the server. At
// that time it isn't known whether the caller will get an event from this server, so the
// origin is unconfirmed. When the lease ends, the entry confirms the origin, or has it
// forgotten because no event came. An origin of which neither arrived, as its entry was
// killed, is kept as it is.
//
// An Inquiry collects what the places answer, and resolves the version:
//
//   - A confirmed origin is conclusive, as all events of a stream are of one version. The
//     other places needn't be waited for.
//   - An unconfirmed origin may be of an attempt that brought no event, if the message
//     that it is to be forgotten is late or lost. The request was then sent again, and
//     another place may know the later attempt. So all places are waited for, and the
//     latest attempt counts. One that doesn't answer in time is left out: a wrong version
//     needs the loss of that message, of the entry and of the place with the later
//     attempt.
//   - If no place knows the stream, and only one version was in service for as long as
//     its caller may come back, the stream began at that one.
//   - Otherwise the version is unknown, and the request has to be refused.
//
// A History lists the versions that were in service lately. It is kept in the store, so
// that it outlives all entries.
//
// The package does no I/O. Times are arguments; those of different hosts are never
// compared, messages carry ages instead.
package resumption
