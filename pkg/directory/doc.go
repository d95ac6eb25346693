// Package directory distributes the state of the site's agents among the entries.
//
// In each failure domain a few entries are relays: they follow the domain's agents
// and the store's registrations, and exchange their state with one relay of each
// other domain. All other entries follow one relay of their own domain. The number
// of streams of a site therefore grows with the sum of its entries and agents, not
// with their product.
//
//   - Topology decides what one entry follows, based on the list of the site's hosts
//     and on recent failures.
//   - Difference and Merge convert between statuses and changes.
//   - Cursor computes the updates for one follower.
//
// The package reads no clock: times are arguments. Each value is used by one
// goroutine.
package directory
