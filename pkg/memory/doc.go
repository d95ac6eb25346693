// Package memory is the budget of a process for the memory that callers make it hold:
// connections, heads, bodies and buffered responses. Memory is reserved before it is
// allocated. Budget holds the decisions, and has no clock and no locks; Pool is for
// concurrent use and waits.
//
// Each connection has a Claim. A reservation is granted while the total is within the
// limit, of which a part is only for claims that stay small. If it isn't, the claims are
// named that are to be cut off: among those that have waited for their caller for at least
// MinStall without progress, those with the largest product of bytes held and time without
// progress. Claims whose request is being served are never cut off.
package memory
