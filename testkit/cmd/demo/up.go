package main

import (
	"context"
	"fmt"

	"teaselgauge.example/teaselgauge/testkit/site"
)

const usage = `
addresses
%s
administration token: %s
API keys: %s (plan prepress, all models and services)
          %s (plan reports, model batch-report)

a complete response:
  curl -H 'Authorization: Bearer %[3]s' -H 'Content-Type: application/json' http://%[5]s/v1/chat/completions -d '{"model":"colour-match","messages":[{"role":"user","content":"Which mix matches Pantone 186 C?"}]}'
a streamed response:
  curl -N -H 'Authorization: Bearer %[3]s' -H 'Content-Type: application/json' http://%[5]s/v1/chat/completions -d '{"model":"colour-match","stream":true,"messages":[{"role":"user","content":"Which mix matches Pantone 186 C?"}]}'
the models of a plan:
  curl -H 'Authorization: Bearer %[4]s' http://%[5]s/v1/models
a plain service, at most once for each Idempotency-Key:
  curl -H 'Authorization: Bearer %[3]s' -H 'Idempotency-Key: dispatch-1' http://%[5]s/services/orders/dispatch -d '{"drums":2}'
a refused request:
  curl -i -H 'Authorization: Bearer %[4]s' -H 'Content-Type: application/json' http://%[5]s/v1/chat/completions -d '{"model":"colour-match","messages":[]}'
the site's status:
  curl -H 'Authorization: Bearer %[2]s' http://%[6]s/admin/v1/status

running until interrupted
`

// runUp prints how to use the site and waits until ctx ends.
func runUp(ctx context.Context, s *site.Site) error {
	addresses := ""
	for _, host := range s.Hosts() {
		addresses += fmt.Sprintf("  %-12s internal %s  admin %s", host.ID, host.Internal, host.Admin)
		if host.Callers != "" {
			addresses += "  callers " + host.Callers
		}
		addresses += "\n"
	}
	entry := s.Entries[0]
	fmt.Printf(usage, addresses, s.AdminToken(), site.KeyPrepress, site.KeyReports, entry.Callers, entry.Admin)
	<-ctx.Done()
	fmt.Println("stopping")
	return nil
}
