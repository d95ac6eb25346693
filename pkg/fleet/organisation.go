package fleet

import "time"

// QuotaUnit is what a quota counts.
type QuotaUnit uint8

// The units of quotas.
const (
	// QuotaRequests counts each request as one.
	QuotaRequests QuotaUnit = iota
	// QuotaTokens counts a request by its prompt tokens and its maximum output tokens.
	QuotaTokens
)

// String returns the unit's name in logs and metrics.
func (u QuotaUnit) String() string {
	if u == QuotaTokens {
		return "tokens"
	}
	return "requests"
}

// Quota limits what an organisation's requests may use, over all entries together.
type Quota struct {
	Unit QuotaUnit
	// PerSecond is the rate in units a second; zero means unlimited.
	PerSecond float64
	// Burst is the number of units that may be used in addition after a pause.
	Burst float64
	// PlainTokens is the size of a request that states none, in tokens.
	PlainTokens int
}

// IsLimited reports whether the quota limits anything.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// Cost returns the units that a request of the given size counts as. The size is in
// tokens; hasSize is false if the request states none.
func (q Quota) Cost(promptTokens, maxOutputTokens int, hasSize bool) float64 {
	switch {
	case q.Unit == QuotaRequests:
		return 1
	case hasSize:
		return float64(promptTokens + maxOutputTokens)
	default:
		return float64(q.PlainTokens)
	}
}

// Within returns the largest number of units that may be used in a span of time.
func (q Quota) Within(span time.Duration) float64 {
	return q.PerSecond*span.Seconds() + q.Burst
}

// Organisation is a group of callers that identify themselves by its keys.
type Organisation struct {
	Name string
	// KeyHashes holds the digests of its keys, as keys.HashAPIKey returns them.
	KeyHashes []string
	// Priority goes before a route's priority; 0 is the highest. It is nil if the
	// organisation has none of its own.
	Priority *int
	Quota    Quota
}
