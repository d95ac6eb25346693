package wire

// QuotaRequest requests credit of an organisation's quota from the gateway that owns the
// quota. All quantities are in the units of the quota. The response is QuotaGrant.
type QuotaRequest struct {
	Organisation string `cbor:"1,keyasint"`
	// Incarnation identifies the process of the sender.
	Incarnation int64 `cbor:"2,keyasint"`
	// Cost is needed for a request, Ahead is wanted in addition.
	Cost  float64 `cbor:"3,keyasint,omitempty"`
	Ahead float64 `cbor:"4,keyasint,omitempty"`
	// Demand is what callers recently asked of the sender, in units a second.
	Demand float64 `cbor:"5,keyasint,omitempty"`
	// Frequent is set if the sender has enough requests for a share of the rate.
	Frequent bool `cbor:"6,keyasint,omitempty"`
	// Share is the part of the rate that the sender may use without credit.
	Share float64 `cbor:"7,keyasint,omitempty"`
	// Returned is credit that the sender didn't use in time.
	Returned float64 `cbor:"8,keyasint,omitempty"`
	// Entries is the number of gateways that the sender knows.
	Entries int `cbor:"9,keyasint,omitempty"`
	// Substitute is set if the owner of the quota doesn't respond to the sender.
	Substitute bool `cbor:"10,keyasint,omitempty"`
	// Configuration is the version that the sender has, PerSecond and Burst are the quota
	// in it.
	Configuration int64   `cbor:"11,keyasint"`
	PerSecond     float64 `cbor:"12,keyasint"`
	Burst         float64 `cbor:"13,keyasint,omitempty"`
}

// QuotaGrant is the response to a QuotaRequest.
type QuotaGrant struct {
	// Credit is at least the cost of the request, or zero if the quota is used up.
	Credit float64 `cbor:"1,keyasint,omitempty"`
	// Share is the part of the rate that may be used while nobody issues credit.
	Share float64 `cbor:"2,keyasint,omitempty"`
	// RetryAfterMillis is when the refused request may come again.
	RetryAfterMillis uint32 `cbor:"3,keyasint,omitempty"`
	// Left is what is left at the owner, PerSecond the rate at which it is refilled.
	Left      float64 `cbor:"4,keyasint,omitempty"`
	PerSecond float64 `cbor:"5,keyasint,omitempty"`
}
