package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// refusal is an answer of the gateway's own.
type refusal struct {
	status int
	reason string
	// retryAfter is when to come back; zero names no time.
	retryAfter time.Duration
}

// refusalBody is the body of a refusal.
type refusalBody struct {
	Error string `json:"error"`
	// NotRun tells that the request has not run and will not.
	NotRun bool `json:"not_run"`
}

// isNotRun tells whether the status promises that the request has not run.
func (r refusal) isNotRun() bool {
	switch r.status {
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return false
	default:
		return true
	}
}

func refuse(w http.ResponseWriter, r refusal) {
	body, err := json.Marshal(refusalBody{Error: r.reason, NotRun: r.isNotRun()})
	if err != nil {
		body = []byte("{}")
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(body)
}
