// Command pacing compares load pacing and keep-alive policies.
//
// It drives the product's decision code in virtual time: one Pacer,
// KeepAlivePolicy and Ledger for each runner and one Coordinator, between
// generated arrivals and a model of the weight store. Engines, queues and
// connections are reduced to delays. The result depends only on the seeds.
package main
