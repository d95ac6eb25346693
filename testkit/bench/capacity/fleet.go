package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/testkit/site"
)

const (
	// probeRate is the average number of unknown agents that an entry probes per
	// second.
	probeRate = 32
	// connExpiry is a time after which all unused connections have been closed.
	connExpiry = 40 * time.Second
	steadyTime = 30 * time.Second
)

// measureFleet measures one real entry with a host list of many agents, which
// respond to probes from a separate process. The entry watches the key-value
// service and decides on one model, about its share among 390 entries.
func measureFleet(ctx context.Context, report *report) error {
	directory, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return err
	}
	defer os.RemoveAll(directory)
	binaries, err := site.Build(ctx, directory)
	if err != nil {
		return err
	}
	options := site.DefaultOptions()
	options.Entries, options.Runners, options.Services = 1, 1, 0
	options.HostListPollMillis = 1000
	options.LogLevel = "info"
	running, err := site.Start(ctx, binaries, options)
	if err != nil {
		return err
	}
	defer running.Close()
	if err := putFleetLists(ctx, running); err != nil {
		return err
	}
	agents, err := startAgents(running.Dir(), targetRunners)
	if err != nil {
		return err
	}
	defer agents.stop()
	return observeFleet(ctx, report, running, agents)
}

func putFleetLists(ctx context.Context, running *site.Site) error {
	current, err := running.Lists(ctx, running.Entries[0])
	if err != nil {
		return err
	}
	next := siteLists(targetAdapters)
	next.Allowances.Models = next.Allowances.Models[:1]
	for i := range next.Allowances.Adapters {
		next.Allowances.Adapters[i].Model = next.Allowances.Models[0].Name
	}
	return running.PutLists(ctx, current.Revision, next.Plans, next.Allowances)
}

func observeFleet(ctx context.Context, report *report, running *site.Site, agents *agentProcess) error {
	discovery := &series{name: "an entry with a fleet: while it discovers all agents, processor", unit: "% of a core", per: "agent"}
	steady := &series{name: "an entry with a fleet: afterwards, processor", unit: "% of a core", per: "agent"}
	memory := &series{name: "an entry with a fleet: resident after discovery, 12,000 adapters", unit: "B", per: "agent"}
	entries := running.Entries
	for _, size := range []int{250, 1000, targetRunners} {
		if err := putHostList(ctx, running, agents, size); err != nil {
			return err
		}
		discoveryTime := time.Duration(size/probeRate+1) * time.Second
		before := ticksOf(entries)
		time.Sleep(discoveryTime)
		discovery.add(size, corePercent(ticksOf(entries)-before, len(entries), discoveryTime))
		memory.add(size, meanResident(entries))
		time.Sleep(connExpiry)
		before = ticksOf(entries)
		time.Sleep(steadyTime)
		steady.add(size, corePercent(ticksOf(entries)-before, len(entries), steadyTime))
	}
	report.add(discovery, steady, memory)
	return nil
}

// putHostList replaces the host list by the entry and the first count agents.
func putHostList(ctx context.Context, running *site.Site, agents *agentProcess, count int) error {
	entry := running.Entries[0]
	hosts := []hostlist.Host{{
		ID: entry.ID, Role: hostlist.RoleEntry, State: hostlist.Live, FailureDomain: entry.FailureDomain,
		Region: "region-0", Address: entry.Internal,
	}}
	for i := range count {
		hosts = append(hosts, hostlist.Host{
			ID: runnerID(i), Role: hostlist.RoleAgent, State: hostlist.Live, FailureDomain: domainOf(i),
			Region: regionOf(i), Address: agents.addresses[i],
		})
	}
	body, err := json.Marshal(hosts)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, running.HostList.URL()+"/hosts", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("host list: %s", response.Status)
	}
	return nil
}
