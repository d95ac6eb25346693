// Package runneragent is the agent process beside a model runner of an operator's
// own platform. It alone gives the runner orders.
//
// The decisions are those of package residency. agent.go starts the process,
// controller.go drives the decisions on one goroutine, worker.go calls the
// runner, server.go answers gateways.
package runneragent
