// Package quota keeps the quotas of organisations over all entries of a site.
//
// One entry owns the quota of an organisation: its Owner holds the bucket, and issues
// credit to all entries. An entry spends credit from its Account, and asks the owner
// when there is none. An entry with many requests of an organisation gets some credit
// ahead of need.
//
// With each response the owner tells an entry its share: the part of the rate that the
// entry may use while the owner doesn't respond. The owner keeps this part back for as
// long as the entry doesn't report, so that both sides of a partition together stay
// within the rate. The next entry in the order that all entries agree on substitutes
// for an owner that doesn't respond: it issues the shares of those that ask it.
//
// A bucket starts empty, so that an owner that restarts, or takes over, issues nothing
// for what its predecessor let through.
//
// All quantities are in the units of the quota, requests or tokens. Times are
// arguments; there is no I/O. docs/design/quotas.md has the bounds.
package quota
