// Package runneragent is the agent process beside a model runner of an operator's
// own platform. Only the agent sends orders to the runner.
//
// Package residency makes the decisions. agent.go starts the process,
// controller.go drives the decisions on one goroutine, worker.go calls the runner,
// server.go serves the gateways.
package runneragent
