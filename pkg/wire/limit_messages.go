package wire

// RateTokenRequest requests a rate token for one request to a backend server with a rate
// limit, from the gateway that limits the rate of the server. The response is Granted or
// Refusal. LimitObserved follows on the stream if the server has responded.
type RateTokenRequest struct {
	// Server and StartedAtMillis identify the incarnation of the server.
	Server          string `cbor:"1,keyasint"`
	StartedAtMillis int64  `cbor:"2,keyasint,omitempty"`
	// LimitPerSecond is the limit that the server named to the sender,
	// NamedAgeMillis the time since then.
	LimitPerSecond float64 `cbor:"3,keyasint"`
	NamedAgeMillis uint32  `cbor:"4,keyasint,omitempty"`
	// Fallback is set if the gateway that is asked first didn't respond.
	Fallback bool `cbor:"5,keyasint,omitempty"`
}

// LimitObserved reports which rate limit the response to a request named. It is
// sent on the stream of the request's lease or rate token.
type LimitObserved struct {
	// Limited is set if the response named a limit, LimitPerSecond is its value.
	Limited        bool    `cbor:"1,keyasint,omitempty"`
	LimitPerSecond float64 `cbor:"2,keyasint,omitempty"`
}
