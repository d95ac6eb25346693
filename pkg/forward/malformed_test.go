package forward

import (
	"errors"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/httpresponse/httpresponsetest"
)

// Guards against a response that isn't one by RFC 9112 and is returned.
func TestMalformedResponseIsNotReturned(t *testing.T) {
	for _, test := range httpresponsetest.Malformed("X-Id: 1\r\n") {
		t.Run(test.Name, func(t *testing.T) {
			pool, address := serve(t, respondAndClose(test.Response))
			body, err := fetch(t.Context(), pool, address, request("1"))
			if !errors.Is(err, ErrMalformed) || IsNotSent(err) {
				t.Errorf("%q, %v, want ErrMalformed of a request that may have run", body, err)
			}
		})
	}
}
