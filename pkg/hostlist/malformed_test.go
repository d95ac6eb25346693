package hostlist

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/httpresponse"
	"teaselgauge.example/teaselgauge/pkg/httpresponse/httpresponsetest"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

// Guards against a malformed response that counts as a list without hosts.
func TestMalformedResponseIsNotAList(t *testing.T) {
	for _, test := range httpresponsetest.Malformed("") {
		t.Run(test.Name, func(t *testing.T) {
			list := New(settings.HostList{URL: "http://" + serveOnce(t, strings.ReplaceAll(test.Response, "whole", "[]   "))})
			defer list.Close()
			if listing, err := list.Hosts(t.Context()); !errors.Is(err, httpresponse.ErrMalformed) {
				t.Errorf("%+v, %v, want ErrMalformed", listing, err)
			}
		})
	}
}

// serveOnce starts a server that writes a response to the first request, and returns its
// address.
func serveOnce(t *testing.T, response string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, response)
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		serving.Wait()
	})
	return listener.Addr().String()
}
