package metrics

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against counters without bound as organisations come and go.
func TestOrganisationCountersAreBounded(t *testing.T) {
	registry := NewRegistry()
	gateway := NewGateway(registry.Scope())
	for range 2 {
		for i := range maxOrganisations + 50 {
			gateway.OrganisationRequest(fmt.Sprint("o", i), "answered")
		}
	}
	if err := registry.Close(); err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	registry.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	text := recorder.Body.String()
	if got := strings.Count(text, "teaselgauge_gateway_organisation_requests_total{"); got != maxOrganisations+1 {
		t.Errorf("%d counters, want %d", got, maxOrganisations+1)
	}
	if want := `teaselgauge_gateway_organisation_requests_total{organisation="other",outcome="answered"} 100`; !strings.Contains(text, want) {
		t.Errorf("%s is missing", want)
	}
}
