// Package directory decides how entries share what they know of the site's agents.
//
// In each failure domain a few entries relay: they follow the domain's agents and
// the store's registrations, and exchange what they know with one relay of each
// other domain. All other entries follow one relay of their own domain. So the
// streams of a site grow with its entries plus its agents, not with their product.
//
//   - Topology says what one entry follows, from the list of the site's hosts and
//     from who did not answer lately.
//   - Difference and Merge turn statuses into what has changed of them and back.
//   - Cursor turns what is known into the updates that one follower needs.
//
// The package is pure: times come in as arguments, and one goroutine drives each
// value.
package directory
