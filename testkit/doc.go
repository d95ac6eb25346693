// Package testkit contains what only tests, benchmarks and the demo need: the
// stand-ins for outside systems and the checks of recorded histories.
package testkit
