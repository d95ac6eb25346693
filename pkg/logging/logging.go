// Package logging makes the processes' loggers: one line of key=value pairs for
// each event, without secrets.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"strings"

	"teaselgauge.example/teaselgauge/pkg/settings"
)

const redacted = "[redacted]"

// secretNames are parts of the names of attributes whose values are not logged.
var secretNames = []string{
	"authorization", "api_key", "apikey", "api-key", "bearer", "credential", "password", "private_key", "secret",
}

// secretSuffixes end the names of attributes whose values are not logged.
var secretSuffixes = []string{"token", "key_hash", "cookie"}

// New returns a logger that writes to w, and its level, which may be changed by
// SetLevel.
func New(w io.Writer, config settings.Log) (*slog.Logger, *slog.LevelVar, error) {
	level := new(slog.LevelVar)
	if err := SetLevel(level, config); err != nil {
		return nil, nil, err
	}
	handler := slog.NewTextHandler(w, &slog.HandlerOptions{
		Level:       level,
		ReplaceAttr: redact,
	})
	return slog.New(handler), level, nil
}

// SetLevel sets a logger's level from the settings.
func SetLevel(level *slog.LevelVar, config settings.Log) error {
	if config.Level == "" {
		level.Set(slog.LevelInfo)
		return nil
	}
	if err := level.UnmarshalText([]byte(config.Level)); err != nil {
		return fmt.Errorf("logging: level %q: %w", config.Level, err)
	}
	return nil
}

// redact keeps the values of attributes that carry secrets out of the log.
func redact(_ []string, attr slog.Attr) slog.Attr {
	if isSecret(attr.Key) || isBearer(attr.Value) {
		attr.Value = slog.StringValue(redacted)
	}
	return attr
}

func isSecret(name string) bool {
	name = strings.ToLower(name)
	for _, part := range secretNames {
		if strings.Contains(name, part) {
			return true
		}
	}
	for _, suffix := range secretSuffixes {
		if strings.HasSuffix(name, suffix) {
			return true
		}
	}
	return false
}

// isBearer finds a credential under an innocent name.
func isBearer(value slog.Value) bool {
	if value.Kind() != slog.KindString {
		return false
	}
	return strings.Contains(strings.ToLower(value.String()), "bearer ")
}
