package callers

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Reasons of refusals that only the callers' API returns.
const (
	ReasonUnauthenticated wire.Reason = "unauthenticated"    // no API key, or an unknown one
	ReasonTooLarge        wire.Reason = "too-large"          // the body exceeds the size limit
	ReasonMethod          wire.Reason = "method-not-allowed" // the path accepts only other methods
	ReasonBodyTimeout     wire.Reason = "body-timeout"       // the body arrived too slowly or was truncated
)

// Response headers.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderOutcome    = "X-Outcome"
	headerRetryAfter = "Retry-After"
)

// statusClientClosedRequest is the non-standard status, known from nginx, of a
// request whose caller disconnected.
const statusClientClosedRequest = 499

// The error types of the OpenAI API.
const (
	typeInvalid   = "invalid_request_error"
	typeAuth      = "authentication_error"
	typeNotFound  = "not_found_error"
	typeConflict  = "conflict_error"
	typeRateLimit = "rate_limit_error"
	typeServer    = "server_error"
)

// errorClass determines how a reason is reported to callers.
type errorClass struct {
	status int
	kind   string
	// retryAfter is used if the refusal doesn't set one.
	retryAfter time.Duration
}

const (
	retrySoon = time.Second
	// retryNever marks refusals that every retry of the request would get as well.
	retryNever time.Duration = 0
)

// errorClasses maps each reason to its class. docs/METRICS.md contains the same
// table for operators.
var errorClasses = map[wire.Reason]errorClass{
	wire.ReasonInvalid:      {http.StatusBadRequest, typeInvalid, retryNever},
	ReasonUnauthenticated:   {http.StatusUnauthorized, typeAuth, retryNever},
	wire.ReasonNotFound:     {http.StatusNotFound, typeNotFound, retryNever},
	ReasonMethod:            {http.StatusMethodNotAllowed, typeInvalid, retryNever},
	ReasonBodyTimeout:       {http.StatusRequestTimeout, typeInvalid, retrySoon},
	wire.ReasonBoundLost:    {http.StatusConflict, typeConflict, retrySoon},
	ReasonTooLarge:          {http.StatusRequestEntityTooLarge, typeInvalid, retryNever},
	wire.ReasonKeyReused:    {http.StatusUnprocessableEntity, typeInvalid, retryNever},
	wire.ReasonQueueFull:    {http.StatusTooManyRequests, typeRateLimit, retrySoon},
	wire.ReasonRate:         {http.StatusTooManyRequests, typeRateLimit, retrySoon},
	wire.ReasonCancelled:    {statusClientClosedRequest, typeServer, retrySoon},
	wire.ReasonEngine:       {http.StatusBadGateway, typeServer, retrySoon},
	wire.ReasonLeaving:      {http.StatusServiceUnavailable, typeServer, retrySoon},
	wire.ReasonNoPermit:     {http.StatusServiceUnavailable, typeServer, retrySoon},
	wire.ReasonNoMemory:     {http.StatusServiceUnavailable, typeServer, retrySoon},
	wire.ReasonLoadFailed:   {http.StatusServiceUnavailable, typeServer, retrySoon},
	wire.ReasonStore:        {http.StatusServiceUnavailable, typeServer, retrySoon},
	wire.ReasonBoundElse:    {http.StatusServiceUnavailable, typeServer, retrySoon},
	wire.ReasonUnavailable:  {http.StatusServiceUnavailable, typeServer, retrySoon},
	wire.ReasonShuttingDown: {http.StatusServiceUnavailable, typeServer, retrySoon},
	wire.ReasonDeadline:     {http.StatusGatewayTimeout, typeServer, retrySoon},
}

// unknownClass is used for reasons that this version doesn't know.
var unknownClass = errorClass{http.StatusInternalServerError, typeServer, retrySoon}

func classOf(reason wire.Reason) errorClass {
	if class, ok := errorClasses[reason]; ok {
		return class
	}
	return unknownClass
}

// errorBody is an error in the format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string      `json:"message"`
	Type    string      `json:"type"`
	Code    wire.Reason `json:"code"`
	// Outcome is not-run, unknown or ran.
	Outcome string `json:"outcome"`
	// RetryAfterMillis is omitted if a retry of the same request can't succeed.
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	RequestID        string `json:"request_id"`
}

// notRun returns a refusal of a request that was not sent to any agent.
func notRun(reason wire.Reason, detail string) *wire.Refusal {
	return &wire.Refusal{Outcome: wire.OutcomeNotRun, Reason: reason, Detail: detail}
}

// retryAfter returns the retry-after time of a refusal, or retryNever.
func retryAfter(refusal *wire.Refusal) time.Duration {
	class := classOf(refusal.Reason)
	if class.retryAfter != retryNever && refusal.RetryAfterMillis > 0 {
		return time.Duration(refusal.RetryAfterMillis) * time.Millisecond
	}
	return class.retryAfter
}

// retryAfterSeconds rounds up, so that callers never retry too early.
func retryAfterSeconds(d time.Duration) string {
	seconds := (d + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(seconds), 10)
}

func encodeRefusal(requestID string, refusal *wire.Refusal) []byte {
	class := classOf(refusal.Reason)
	message := refusal.Detail
	if message == "" {
		message = string(refusal.Reason)
	}
	body := errorBody{Error: errorDetail{
		Message:          message,
		Type:             class.kind,
		Code:             refusal.Reason,
		Outcome:          refusal.Outcome.String(),
		RetryAfterMillis: retryAfter(refusal).Milliseconds(),
		RequestID:        requestID,
	}}
	encoded, err := json.Marshal(body)
	if err != nil {
		return []byte(`{"error":{"message":"internal error"}}`)
	}
	return encoded
}

// writeRefusal writes a refusal as a complete response.
func writeRefusal(w http.ResponseWriter, requestID string, refusal *wire.Refusal) {
	body := encodeRefusal(requestID, refusal)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderOutcome, refusal.Outcome.String())
	if after := retryAfter(refusal); after != retryNever {
		header.Set(headerRetryAfter, retryAfterSeconds(after))
	}
	if refusal.Reason == ReasonUnauthenticated {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(classOf(refusal.Reason).status)
	// A failed write means that the caller disconnected; nobody else needs to know.
	_, _ = w.Write(body)
}
