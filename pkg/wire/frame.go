package wire

// Frame is the unit of transmission on a stream. Exactly one field is set.
type Frame struct {
	Request     *Request     `cbor:"1,keyasint,omitempty"`
	Accepted    *Accepted    `cbor:"2,keyasint,omitempty"`
	Refusal     *Refusal     `cbor:"3,keyasint,omitempty"`
	Head        *Head        `cbor:"4,keyasint,omitempty"`
	Chunk       *Chunk       `cbor:"5,keyasint,omitempty"`
	End         *End         `cbor:"6,keyasint,omitempty"`
	Probe       *Probe       `cbor:"7,keyasint,omitempty"`
	Status      *Status      `cbor:"8,keyasint,omitempty"`
	Sync        *Sync        `cbor:"9,keyasint,omitempty"`
	Update      *Update      `cbor:"10,keyasint,omitempty"`
	LoadRequest *LoadRequest `cbor:"11,keyasint,omitempty"`
	LoadGrant   *LoadGrant   `cbor:"12,keyasint,omitempty"`
	Resume      *Resume      `cbor:"13,keyasint,omitempty"`

	// The messages between a gateway and the agent of a model runner.
	Subscribe       *Subscribe       `cbor:"14,keyasint,omitempty"`
	RunnerPlacement *RunnerPlacement `cbor:"15,keyasint,omitempty"`
	RunnerLoadGrant *RunnerLoadGrant `cbor:"16,keyasint,omitempty"`
	RunnerStatus    *RunnerStatus    `cbor:"17,keyasint,omitempty"`
	Acquire         *Acquire         `cbor:"18,keyasint,omitempty"`
	Granted         *Granted         `cbor:"19,keyasint,omitempty"`
	Released        *Released        `cbor:"20,keyasint,omitempty"`

	// The messages between gateways.
	Follow     *Follow     `cbor:"21,keyasint,omitempty"`
	SiteUpdate *SiteUpdate `cbor:"22,keyasint,omitempty"`

	// The messages about the rate limits of backend servers.
	RateTokenRequest *RateTokenRequest `cbor:"23,keyasint,omitempty"`
	LimitObserved    *LimitObserved    `cbor:"24,keyasint,omitempty"`

	// The evidence about requests that crash backend servers.
	CrashReport *CrashReport `cbor:"25,keyasint,omitempty"`
	StartReport *StartReport `cbor:"26,keyasint,omitempty"`

	EvidenceHandover *EvidenceHandover `cbor:"30,keyasint,omitempty"`
	BlockQuery       *BlockQuery       `cbor:"31,keyasint,omitempty"`
	BlockAnswer      *BlockAnswer      `cbor:"32,keyasint,omitempty"`

	// The messages about the origins of streams that callers may resume.
	OriginQuery    *OriginQuery    `cbor:"27,keyasint,omitempty"`
	OriginAnswer   *OriginAnswer   `cbor:"28,keyasint,omitempty"`
	OriginHandover *OriginHandover `cbor:"29,keyasint,omitempty"`

	// The messages about the quotas of organisations.
	QuotaRequest *QuotaRequest `cbor:"34,keyasint,omitempty"`
	QuotaGrant   *QuotaGrant   `cbor:"35,keyasint,omitempty"`
}
