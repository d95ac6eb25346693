package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/settings"
)

const hostListTimeout = 5 * time.Second

// HostListError is a failure of the platform's list of hosts.
type HostListError struct {
	Err error
}

// Error implements error.
func (e *HostListError) Error() string {
	return "host list: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *HostListError) Unwrap() error { return e.Err }

// HostList reads the platform's list of hosts over HTTP. Where the platform
// gives entity tags, an unchanged list isn't sent again. It is safe for
// concurrent use.
type HostList struct {
	url    string
	client *http.Client

	mu sync.Mutex
	// tag is the entity tag of last; empty if the platform gave none.
	tag  string
	last *Listing
}

var _ HostLister = (*HostList)(nil)

// NewHostList returns a reader of the list in the settings. It opens no
// connection.
func NewHostList(config settings.HostList) *HostList {
	return &HostList{
		url: config.URL,
		client: &http.Client{
			Transport:     newTransport(),
			CheckRedirect: refuseRedirect,
			Timeout:       hostListTimeout,
		},
	}
}

// Close closes the idle connections.
func (l *HostList) Close() {
	l.client.CloseIdleConnections()
}

// Hosts reads the list. Errors are *HostListError.
func (l *HostList) Hosts(ctx context.Context) (*Listing, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, &HostListError{Err: err}
	}
	if l.tag != "" {
		request.Header.Set("If-None-Match", l.tag)
	}
	answer, err := l.client.Do(request)
	if err != nil {
		return nil, &HostListError{Err: err}
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusNotModified && l.last != nil {
		return l.last, nil
	}
	if answer.StatusCode != http.StatusOK {
		return nil, &HostListError{Err: statusError(answer)}
	}
	return l.take(answer)
}

// take reads a list that has changed, or may have.
func (l *HostList) take(answer *http.Response) (*Listing, error) {
	var hosts []Host
	if err := decodeBounded(answer.Body, &hosts); err != nil {
		return nil, &HostListError{Err: err}
	}
	if err := checkHosts(hosts); err != nil {
		return nil, &HostListError{Err: err}
	}
	l.tag = answer.Header.Get("ETag")
	l.last = &Listing{Hosts: hosts}
	return l.last, nil
}

func checkHosts(hosts []Host) error {
	if hosts == nil {
		return errors.New("no array of hosts")
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
