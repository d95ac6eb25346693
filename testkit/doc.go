// Package testkit holds what only tests, benchmarks and the demo need: the
// stand-ins for outside systems and the history checks.
package testkit
