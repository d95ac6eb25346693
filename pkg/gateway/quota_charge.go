package gateway

import (
	"context"
	"net/http"
	"time"
)

// quotaReason is the reason of a refusal in responses and logs.
const quotaReason = "quota used up"

// chargeQuota charges the request to its organisation's quota. It returns the refusal of
// a request that is over the quota.
func (x *exchange) chargeQuota(ctx context.Context, version int64) *refusal {
	if x.organisation == nil || !x.organisation.Quota.IsLimited() {
		return nil
	}
	quotas := x.handler.quotas
	cost := x.organisation.Quota.Cost(x.caller.PromptTokens, x.caller.MaxOutputTokens, x.caller.HasTokenCount)
	decided := quotas.charge(ctx, x.organisation, version, cost)
	if !decided.isRefused() {
		x.quotaCharged = cost
		return nil
	}
	limit := x.organisation.Quota
	x.logger.Info("request over its organisation's quota", "organisation", x.organisation.Name, "outcome", decided.outcome,
		"entry", decided.entry, "cost", cost, "unit", limit.Unit.String(), "limit_per_s", limit.PerSecond, "burst", limit.Burst,
		"left", decided.state.Left, "left_age_ms", decided.state.Age.Milliseconds(), "refilled_per_s", decided.state.PerSecond,
		"share", decided.state.Share, "demand_per_s", decided.state.Demand, "configuration", version, "retry_after_ms", decided.retryAfter.Milliseconds())
	return &refusal{status: http.StatusTooManyRequests, reason: quotaReason, retryAfter: decided.retryAfter}
}

// returnQuota gives the charge of a request back that ended without having run.
func (x *exchange) returnQuota(now time.Time) {
	if x.quotaCharged == 0 {
		return
	}
	neverSent := x.result.isUnanswered() && x.machine.Sends() == 0
	if x.result.outcome != outcomeNotRun && !neverSent {
		return
	}
	x.handler.quotas.account(x.organisation.Name).GiveBack(now, x.quotaCharged)
	x.handler.observer.metrics.QuotaCharge(quotaReturned)
	x.quotaCharged = 0
}
