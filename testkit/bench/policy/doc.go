// Command policy measures the combined effect of the decisions of entries and
// agents: loads per wake-up (a load of a model that no runner has), refusals by
// reason, the tail of cold starts, idle accelerator time, permit changes, and
// fairness between plans.
//
// It drives the product's placement, routing, admission and keep-alive code in
// virtual time, and compares it with two baselines that are built from the same
// parts. Connections are reduced to delays and engines to durations; the weight
// store limits the rate of load starts and nothing else. The order of loads and
// the keep-alive times are compared by a separate bench, pacing. The result
// depends only on the seeds.
package main
