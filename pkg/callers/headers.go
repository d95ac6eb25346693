package callers

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Request headers.
const (
	// HeaderDeadline limits the time for the complete response, in milliseconds from
	// the request's arrival.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderPriority is the priority among requests of the same plan, from 0 to 9,
	// the highest first.
	HeaderPriority = "X-Priority"
	// HeaderIdempotencyKey makes a plain service's call run at most once although it
	// is sent repeatedly.
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	maxIdempotencyKeyBytes  = 255
	maxCallerRequestIDBytes = 64
	maxPriority             = 9
	defaultPriority         = 5
	bearerPrefix            = "bearer "
)

// requestHeaders holds the validated headers of one request.
type requestHeaders struct {
	budget         time.Duration
	priority       int
	idempotencyKey string
}

func (h *Handler) parseHeaders(header http.Header) (requestHeaders, *wire.Refusal) {
	var parsed requestHeaders
	var err error
	parsed.budget, err = h.parseDeadline(header.Get(HeaderDeadline))
	if err != nil {
		return parsed, notRun(wire.ReasonInvalid, err.Error())
	}
	parsed.priority, err = parsePriority(header.Get(HeaderPriority))
	if err != nil {
		return parsed, notRun(wire.ReasonInvalid, err.Error())
	}
	parsed.idempotencyKey, err = parseIdempotencyKey(header.Values(HeaderIdempotencyKey))
	if err != nil {
		return parsed, notRun(wire.ReasonInvalid, err.Error())
	}
	return parsed, nil
}

// parseDeadline limits deadlines to the entry's maximum.
func (h *Handler) parseDeadline(text string) (time.Duration, error) {
	millis := h.limits.DefaultDeadlineMillis
	if text != "" {
		parsed, err := strconv.ParseUint(text, 10, 31)
		if err != nil || parsed == 0 {
			return 0, fmt.Errorf("%s must be a positive number of milliseconds", HeaderDeadline)
		}
		millis = int(parsed)
	}
	return time.Duration(min(millis, h.limits.MaxDeadlineMillis)) * time.Millisecond, nil
}

func parsePriority(text string) (int, error) {
	if text == "" {
		return defaultPriority, nil
	}
	priority, err := strconv.Atoi(text)
	if err != nil || priority < 0 || priority > maxPriority {
		return 0, fmt.Errorf("%s must be a number from 0 to %d", HeaderPriority, maxPriority)
	}
	return priority, nil
}

func parseIdempotencyKey(values []string) (string, error) {
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || key == "" || len(key) > maxIdempotencyKeyBytes || !isPrintable(key) {
		return "", fmt.Errorf("%s must be one value of 1 to %d printable ASCII characters",
			HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	return key, nil
}

func isPrintable(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r < ' ' || r > '~' }) < 0
}

// sanitizeRequestID keeps the characters of a caller's request id that are safe to
// log.
func sanitizeRequestID(text string) string {
	text = text[:min(len(text), maxCallerRequestIDBytes)]
	return strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '-', r == '_', r == '.':
			return r
		}
		return -1
	}, text)
}

// authenticate returns the caller's rights. API keys are looked up by their
// digests, so that the time of the comparison reveals nothing about the keys.
func (h *Handler) authenticate(header http.Header) (Access, *wire.Refusal) {
	value := header.Get("Authorization")
	if len(value) <= len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return nil, notRun(ReasonUnauthenticated, "an API key is needed: Authorization: Bearer KEY")
	}
	digest := sha256.Sum256([]byte(value[len(bearerPrefix):]))
	access, ok := h.resolver.Access(KeyDigest(digest))
	if !ok && !h.resolver.Loaded() {
		return nil, notRun(wire.ReasonUnavailable, "this entry host has no lists yet")
	}
	if !ok {
		return nil, notRun(ReasonUnauthenticated, "the API key is unknown")
	}
	return access, nil
}
