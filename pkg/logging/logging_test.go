package logging

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/settings"
)

func TestSecretsAreRedacted(t *testing.T) {
	var out bytes.Buffer
	logger, _, err := New(&out, settings.Log{})
	if err != nil {
		t.Fatal(err)
	}
	logger.Debug("hidden")
	logger.Info("request",
		"Authorization", "Bearer s3cret", "api_key", "s3cret", "admin_token", "s3cret", "note", "sent bearer s3cret",
		slog.Group("header", "X-Api-Key", "s3cret"), "idempotency_key", "kept", "tokens", 12)
	if line := out.String(); strings.Contains(line, "s3cret") || strings.Count(line, "\n") != 1 {
		t.Errorf("got %q", line)
	} else if !strings.Contains(line, "idempotency_key=kept") || !strings.Contains(line, "tokens=12") {
		t.Errorf("attributes without secrets are missing: %q", line)
	}
	if _, _, err := New(&out, settings.Log{Level: "loud"}); err == nil {
		t.Error("an unknown level was accepted")
	}
}
