// Command queueing compares the orders in which an agent's queued requests run.
//
// It drives the product's admission.Queue and a plain first-in, first-out queue
// with the same generated requests in virtual time. The result depends only on
// the seeds.
package main
