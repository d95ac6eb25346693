// Command policy measures what follows from the decisions of entries and agents
// together: loads per wake-up, refusals by cause, the tail of cold starts, idle
// accelerator time, changes of permits, and fairness between plans.
//
// It drives the product's placement, routing, admission and keep-alive code in
// virtual time, and compares it with two baselines made of the same parts. Links
// are delays and engines are durations; the weight store starts loads at its rate
// and has no other limit. The order of loads and the choice of keep-alive times
// have a bench of their own, pacing. The result depends only on the seeds.
package main
