package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// demoKey is the key of the only organisation of the demo's platform.
const demoKey = "demo-key"

// runPlatformDemo runs a small site on a stand-in for an operator's platform, with one
// organisation, and sends a request with its key, without a key and with an unknown one.
func runPlatformDemo(ctx context.Context) (err error) {
	binaries, err := site.Shared()
	if err != nil {
		return err
	}
	options := platformsite.DefaultOptions()
	options.Entries, options.Runners, options.Plain = 1, 1, 1
	s, err := platformsite.Start(ctx, binaries, options)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	s.Configure(func(c *platformsite.Configuration) {
		c.Tenants = []platformsite.Tenant{{Name: "ink", APIKeys: []string{demoKey}}}
	})
	if err := awaitOrganisations(ctx, s); err != nil {
		return err
	}
	fmt.Println("\non an operator's platform, with the organisation ink")
	for _, request := range []struct {
		title, key string
		status     int
	}{
		{"its key", demoKey, http.StatusOK},
		{"no key", "", http.StatusUnauthorized},
		{"an unknown key", "other-key", http.StatusUnauthorized},
	} {
		if err := sendWithKey(ctx, s, request.title, request.key, request.status); err != nil {
			return fmt.Errorf("request with %s: %w", request.title, err)
		}
	}
	return nil
}

// awaitOrganisations waits until the entry has the configuration with organisations.
func awaitOrganisations(ctx context.Context, s *platformsite.Site) error {
	return site.Eventually(ctx, func() error {
		if got := s.Entries[0].Send(ctx, s.NewRequest(platformsite.BookingPath, "")); got.Status != http.StatusUnauthorized {
			return fmt.Errorf("a request without a key got %s", got)
		}
		return nil
	})
}

// sendWithKey sends a request and checks its response and what the server received.
func sendWithKey(ctx context.Context, s *platformsite.Site, title, key string, status int) error {
	request := s.NewRequest(platformsite.BookingPath, "")
	if key != "" {
		request.Header = http.Header{backendserver.HeaderKey: {key}}
	}
	result := s.Entries[0].Send(ctx, request)
	fmt.Printf("  request with %s: status %d, %s\n", title, result.Status, result.Body)
	if result.Status != status {
		return fmt.Errorf("%s, want status %d", result, status)
	}
	for _, run := range s.Runs(request.ID) {
		fmt.Printf("  the server received the organisation %q and %d keys\n", run.Organisation, len(run.Keys))
		if run.Organisation != "ink" || len(run.Keys) > 0 {
			return fmt.Errorf("the server received %+v", run)
		}
	}
	return nil
}
