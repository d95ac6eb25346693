package site

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/testkit/standin/keyvalue"
	"teaselgauge.example/teaselgauge/testkit/standin/modelengine"
	"teaselgauge.example/teaselgauge/testkit/standin/plainservice"
	"teaselgauge.example/teaselgauge/testkit/standin/weightstore"
)

// httpClient sends requests to stand-ins and administration addresses. It reuses no
// connections, so that none is stale after a process was restarted or frozen.
var httpClient = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	Timeout:   10 * time.Second,
}

// doJSON sends a request with an optional JSON body and decodes the JSON response
// into out if that isn't nil.
func doJSON(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("site: encode: %w", err)
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return fmt.Errorf("site: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("site: %s %s returns status %d: %s", method, url, response.StatusCode, text)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		return fmt.Errorf("site: decode %s: %w", url, err)
	}
	return nil
}

func setFaults(ctx context.Context, standin *Standin, faults any) error {
	return doJSON(ctx, http.MethodPost, standin.URL()+"/faults", faults, nil)
}

// SetKeyValueFaults replaces the faults of the key-value service.
func (s *Site) SetKeyValueFaults(ctx context.Context, faults keyvalue.Faults) error {
	return setFaults(ctx, s.KeyValue, faults)
}

// SetWeightStoreFaults replaces the faults of the weight store.
func (s *Site) SetWeightStoreFaults(ctx context.Context, faults weightstore.Faults) error {
	return setFaults(ctx, s.WeightStore, faults)
}

// SetEngineFaults replaces the faults of the engine behind a runner.
func (s *Site) SetEngineFaults(ctx context.Context, runner *Host, faults modelengine.Faults) error {
	return setFaults(ctx, runner.Backend, faults)
}

// SetServiceFaults replaces the faults of the plain service behind a host.
func (s *Site) SetServiceFaults(ctx context.Context, host *Host, faults plainservice.Faults) error {
	return setFaults(ctx, host.Backend, faults)
}

// KeyValueCounters returns the call counters of the key-value service.
func (s *Site) KeyValueCounters(ctx context.Context) (keyvalue.Counters, error) {
	var counters keyvalue.Counters
	err := doJSON(ctx, http.MethodGet, s.KeyValue.URL()+"/counters", nil, &counters)
	return counters, err
}

// WeightStoreCounters returns the load counters of the weight store.
func (s *Site) WeightStoreCounters(ctx context.Context) (weightstore.Counters, error) {
	var counters weightstore.Counters
	err := doJSON(ctx, http.MethodGet, s.WeightStore.URL()+"/counters", nil, &counters)
	return counters, err
}

// Journal returns the journal of the engine behind a runner.
func (s *Site) Journal(ctx context.Context, runner *Host) (modelengine.Journal, error) {
	var journal modelengine.Journal
	err := doJSON(ctx, http.MethodGet, runner.Backend.URL()+"/journal", nil, &journal)
	return journal, err
}

// Runs returns the runs of all plain services, summed.
func (s *Site) Runs(ctx context.Context) (plainservice.Runs, error) {
	sum := plainservice.Runs{ByKey: map[string]int{}, ByRequest: map[string]int{}}
	for _, host := range s.Services {
		var runs plainservice.Runs
		if err := doJSON(ctx, http.MethodGet, host.Backend.URL()+"/runs", nil, &runs); err != nil {
			return plainservice.Runs{}, err
		}
		sum.Total += runs.Total
		sum.Started += runs.Started
		for key, count := range runs.ByKey {
			sum.ByKey[key] += count
		}
		for id, count := range runs.ByRequest {
			sum.ByRequest[id] += count
		}
	}
	return sum, nil
}

// List changes a host's state in the platform's host list. The empty state removes
// the host from the list.
func (s *Site) List(ctx context.Context, host *Host, state hostlist.State) error {
	s.hostStates[host.ID] = state
	return s.putHostList(ctx)
}

func (s *Site) putHostList(ctx context.Context) error {
	hosts := []hostlist.Host{}
	for _, host := range s.Hosts() {
		if state := s.hostStates[host.ID]; state != "" {
			hosts = append(hosts, host.listedHost(s.options.Region, state))
		}
	}
	return doJSON(ctx, http.MethodPut, s.HostList.URL()+"/hosts", hosts, nil)
}
