package hostlist

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/httpjson"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

const (
	readTimeout = 5 * time.Second
	maxConns    = 2
	// maxListBytes limits the size of the list.
	maxListBytes = 64 << 20
)

// Error is a failure to read the platform's host list.
type Error struct {
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return "host list: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// List reads the platform's host list over HTTP. If the platform sends entity
// tags, an unchanged list is not transferred again. It is safe for concurrent
// use.
type List struct {
	url    string
	client *http.Client

	mu sync.Mutex
	// tag is the entity tag of last, or empty if the platform sent none.
	tag  string
	last *Listing
}

var _ Lister = (*List)(nil)

// New returns a reader of the configured list. It opens no connection.
func New(config settings.HostList) *List {
	return &List{
		url: config.URL,
		client: &http.Client{
			Transport:     httpjson.NewTransport(maxConns),
			CheckRedirect: httpjson.RefuseRedirect,
			Timeout:       readTimeout,
		},
	}
}

// Close closes the idle connections.
func (l *List) Close() {
	l.client.CloseIdleConnections()
}

// Hosts reads the list. Its errors are *Error.
func (l *List) Hosts(ctx context.Context) (*Listing, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if l.tag != "" {
		request.Header.Set("If-None-Match", l.tag)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, &Error{Err: err}
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified && l.last != nil {
		return l.last, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, &Error{Err: httpjson.StatusError(response)}
	}
	return l.decodeListing(response)
}

// decodeListing decodes a list that may have changed.
func (l *List) decodeListing(response *http.Response) (*Listing, error) {
	var hosts []Host
	if err := httpjson.Decode(response.Body, maxListBytes, &hosts); err != nil {
		return nil, &Error{Err: err}
	}
	if err := checkHosts(hosts); err != nil {
		return nil, &Error{Err: err}
	}
	l.tag = response.Header.Get("ETag")
	l.last = &Listing{Hosts: hosts}
	return l.last, nil
}

func checkHosts(hosts []Host) error {
	if hosts == nil {
		return errors.New("response is not an array of hosts")
	}
	seen := make(map[string]struct{}, len(hosts))
	for i, host := range hosts {
		if host.ID == "" {
			return fmt.Errorf("host %d has no id", i)
		}
		if _, ok := seen[host.ID]; ok {
			return fmt.Errorf("host %q is listed twice", host.ID)
		}
		seen[host.ID] = struct{}{}
	}
	return nil
}
