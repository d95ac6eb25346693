// Command pacing compares ways of pacing loads and of choosing keep-alive times.
//
// It drives the product's decision code in virtual time: one Pacer, Keeper and
// Ledger for each runner and one Coordinator, between generated arrivals and a
// model of the weight store. Engines, queues and links are reduced to delays.
// The result depends only on the seeds.
package main
