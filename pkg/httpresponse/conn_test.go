package httpresponse

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/httpresponse/httpresponsetest"
)

// pipeServer serves connections in memory.
type pipeServer struct {
	// respond returns the response to a request, counted from 1, and whether the server
	// closes the connection after it.
	respond         func(request int64) (response string, closes bool)
	dials, requests atomic.Int64
}

// client returns a client of the server over checked connections.
func (s *pipeServer) client(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{
		DisableCompression: true,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			s.dials.Add(1)
			near, far := net.Pipe()
			go s.serve(far)
			return NewConn(near), nil
		},
	}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 10 * time.Second}
}

func (s *pipeServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		response, closes := s.respond(s.requests.Add(1))
		if _, err := io.WriteString(conn, response); err != nil || closes {
			return
		}
	}
}

// get gets a response.
func get(client *http.Client) (status int, body string, err error) {
	response, err := client.Get("http://server.example/")
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// Guards against a malformed response that net/http's client accepts, or for which it sends the request again.
func TestClientRefusesMalformedResponse(t *testing.T) {
	for _, test := range httpresponsetest.Malformed("X-Id: 1\r\n") {
		t.Run(test.Name, func(t *testing.T) {
			// The second request is on a connection that was used before, on which
			// requests may be sent again.
			server := &pipeServer{respond: func(request int64) (string, bool) {
				if request == 1 {
					return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst", false
				}
				return test.Response, true
			}}
			client := server.client(t)
			if _, body, err := get(client); body != "first" || err != nil {
				t.Fatalf("%q, %v", body, err)
			}
			if status, body, err := get(client); !errors.Is(err, ErrMalformed) {
				t.Errorf("status %d, %q, %v, want ErrMalformed", status, body, err)
			}
			if sent := server.requests.Load(); sent != 2 {
				t.Errorf("%d requests, want 2", sent)
			}
		})
	}
}

// Guards against sound responses that a client doesn't get as they are, and connections that it keeps or closes wrongly.
func TestClientGetsValidResponses(t *testing.T) {
	for _, test := range validTests {
		if test.method != http.MethodGet {
			continue
		}
		t.Run(test.name, func(t *testing.T) {
			server := &pipeServer{respond: func(int64) (string, bool) { return test.response, !test.reusable }}
			client := server.client(t)
			for range 3 {
				status, body, err := get(client)
				if status != test.status || body != test.body || err != nil {
					t.Errorf("status %d, body %q, %v", status, body, err)
				}
			}
			want := int64(3)
			if test.reusable {
				want = 1
			}
			if dials := server.dials.Load(); dials != want {
				t.Errorf("%d connections, want %d", dials, want)
			}
		})
	}
}

// Guards against a response that is cut off and that a client takes for complete.
func TestClientSeesTruncatedResponses(t *testing.T) {
	for _, test := range validTests {
		if test.method != http.MethodGet || test.framing == FramingConnection || len(test.response) > 1<<10 {
			continue
		}
		t.Run(test.name, func(t *testing.T) {
			for size := range len(test.response) {
				server := &pipeServer{respond: func(int64) (string, bool) { return test.response[:size], true }}
				if status, body, err := get(server.client(t)); err == nil {
					t.Errorf("%q: status %d, body %q", test.response[:size], status, body)
				}
			}
		})
	}
}

// Guards against data that waits in a checked connection for what follows it.
func TestCheckedConnectionDoesNotWaitForTheRest(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(far))
		_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
	}()
	dial := func(context.Context, string, string) (net.Conn, error) { return NewConn(near), nil }
	client := &http.Client{Transport: &http.Transport{DialContext: dial}, Timeout: 10 * time.Second}
	response, err := client.Get("http://server.example/")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	buffer := make([]byte, 64)
	if n, err := response.Body.Read(buffer); string(buffer[:n]) != "first" || err != nil {
		t.Errorf("%q, %v", buffer[:n], err)
	}
}

// Guards against bytes that arrive on an idle connection and become part of the next response.
func TestIdleCheckedConnectionWithBytesIsClosed(t *testing.T) {
	server := &pipeServer{respond: func(request int64) (string, bool) {
		if request == 1 {
			return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst" + "HTTP/1.1 200 OK\r\nContent-", false
		}
		return "Length: 5\r\n\r\nother", false
	}}
	client := server.client(t)
	if _, body, err := get(client); body != "first" || err != nil {
		t.Fatalf("%q, %v", body, err)
	}
	// The client detects the bytes after the response has been read.
	time.Sleep(50 * time.Millisecond)
	if _, body, err := get(client); body == "other" || server.dials.Load() != 2 {
		t.Errorf("%q, %v over %d connections", body, err, server.dials.Load())
	}
}
