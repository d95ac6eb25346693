// Package logging creates the loggers of all processes. They write one line of
// key=value pairs for each event and redact secrets.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"strings"

	"teaselgauge.example/teaselgauge/pkg/settings"
)

const redacted = "[redacted]"

// secretNames are substrings of the names of attributes whose values are redacted.
var secretNames = []string{
	"authorization", "api_key", "apikey", "api-key", "bearer", "credential", "password", "private_key", "secret",
}

// secretSuffixes are suffixes of the names of attributes whose values are redacted.
var secretSuffixes = []string{"token", "key_hash", "cookie"}

// New returns a logger that writes to w, and its level, which SetLevel can change.
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

// SetLevel sets a logger's level according to the settings.
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

// redact replaces the values of attributes that contain secrets.
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

// isBearer reports whether a value contains a bearer token, whatever its name.
func isBearer(value slog.Value) bool {
	if value.Kind() != slog.KindString {
		return false
	}
	return strings.Contains(strings.ToLower(value.String()), "bearer ")
}
