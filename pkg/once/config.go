package once

import "time"

// Config contains a Machine's identity and limits. Zero limits mean the defaults.
type Config struct {
	Agent       string
	Incarnation string
	// MaxOpen limits the keys that are being recorded or running.
	MaxOpen int
	// MaxWaiters limits the calls that wait for one key.
	MaxWaiters int
	// MaxResponses and MaxResponsesBytes limit all kept responses.
	MaxResponses      int
	MaxResponsesBytes int64
	// MaxResponseBytes limits one kept response.
	MaxResponseBytes int64
	// ResponseTTL is how long a response is kept.
	ResponseTTL time.Duration
	// MaxKeys limits the keys that ran and have no kept response and, separately, the
	// keys that are bound to this incarnation and didn't run.
	MaxKeys int
	// StoreRetryAfter is the retry-after time while the key-value service is
	// unavailable.
	StoreRetryAfter time.Duration
}

// The default limits.
const (
	DefaultMaxOpen           = 4096
	DefaultMaxWaiters        = 16
	DefaultMaxResponses      = 4096
	DefaultMaxResponsesBytes = 16 << 20
	DefaultMaxResponseBytes  = 256 << 10
	DefaultResponseTTL       = 24 * time.Hour
	DefaultMaxKeys           = 65536
	DefaultStoreRetryAfter   = time.Second
)

func (c Config) withDefaults() Config {
	c.MaxOpen = orDefault(c.MaxOpen, DefaultMaxOpen)
	c.MaxWaiters = orDefault(c.MaxWaiters, DefaultMaxWaiters)
	c.MaxResponses = orDefault(c.MaxResponses, DefaultMaxResponses)
	c.MaxResponsesBytes = orDefault(c.MaxResponsesBytes, DefaultMaxResponsesBytes)
	c.MaxResponseBytes = orDefault(c.MaxResponseBytes, DefaultMaxResponseBytes)
	c.ResponseTTL = orDefault(c.ResponseTTL, DefaultResponseTTL)
	c.MaxKeys = orDefault(c.MaxKeys, DefaultMaxKeys)
	c.StoreRetryAfter = orDefault(c.StoreRetryAfter, DefaultStoreRetryAfter)
	return c
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
