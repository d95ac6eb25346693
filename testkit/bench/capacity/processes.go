package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/keyvalue"
)

const (
	// ticksPerSecond is the kernel's unit for the processor time of processes.
	ticksPerSecond  = 100
	warmUp          = 5 * time.Second
	observationTime = 15 * time.Second
)

// measureProcesses measures complete, idle sites of real processes.
func measureProcesses(ctx context.Context, report *report) error {
	directory, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return err
	}
	defer os.RemoveAll(directory)
	binaries, err := site.Build(ctx, directory)
	if err != nil {
		return err
	}
	idle := newIdleSeries()
	for _, entries := range []int{2, 4, 8} {
		if err := idle.measure(ctx, binaries, entries); err != nil {
			return err
		}
	}
	report.add(idle.entryMemory, idle.entryProcessor, idle.agentMemory, idle.agentProcessor, idle.reads, idle.writes, idle.watches)
	return measureListsActivation(ctx, report, binaries)
}

// idleSeries holds the measurements of an idle site by its number of entries. The
// site has twice as many runners.
type idleSeries struct {
	entryMemory, entryProcessor *series
	agentMemory, agentProcessor *series
	reads, writes, watches      *series
}

func newIdleSeries() *idleSeries {
	return &idleSeries{
		entryMemory:    &series{name: "idle site: an entry, resident", unit: "B", per: "entry"},
		entryProcessor: &series{name: "idle site: an entry, processor", unit: "% of a core", per: "entry"},
		agentMemory:    &series{name: "idle site: an agent, resident", unit: "B", per: "entry"},
		agentProcessor: &series{name: "idle site: an agent, processor", unit: "% of a core", per: "entry"},
		reads:          &series{name: "idle site: key-value reads", unit: "calls/s", per: "entry"},
		writes:         &series{name: "idle site: key-value writes", unit: "calls/s", per: "entry"},
		watches:        &series{name: "idle site: key-value watches opened", unit: "calls/s", per: "entry"},
	}
}

func (i *idleSeries) measure(ctx context.Context, binaries site.Binaries, entries int) error {
	running, err := startSite(ctx, binaries, entries)
	if err != nil {
		return err
	}
	defer running.Close()
	time.Sleep(warmUp)
	before, err := running.KeyValueCounters(ctx)
	if err != nil {
		return err
	}
	entryTicks, agentTicks := ticksOf(running.Entries), ticksOf(running.Runners)
	time.Sleep(observationTime)
	after, err := running.KeyValueCounters(ctx)
	if err != nil {
		return err
	}
	i.entryProcessor.add(entries, corePercent(ticksOf(running.Entries)-entryTicks, len(running.Entries), observationTime))
	i.agentProcessor.add(entries, corePercent(ticksOf(running.Runners)-agentTicks, len(running.Runners), observationTime))
	i.entryMemory.add(entries, meanResident(running.Entries))
	i.agentMemory.add(entries, meanResident(running.Runners))
	i.addCalls(entries, before, after)
	return nil
}

func (i *idleSeries) addCalls(entries int, before, after keyvalue.Counters) {
	i.reads.add(entries, float64(after.Range-before.Range)/observationTime.Seconds())
	i.writes.add(entries, float64(after.Txn-before.Txn)/observationTime.Seconds())
	i.watches.add(entries, float64(after.Watch-before.Watch)/observationTime.Seconds())
}

func startSite(ctx context.Context, binaries site.Binaries, entries int) (*site.Site, error) {
	options := site.DefaultOptions()
	options.Entries = entries
	options.Runners = 2 * entries
	options.LogLevel = "info"
	return site.Start(ctx, binaries, options)
}

// corePercent returns the average share of a core that each process used.
func corePercent(ticks, processes int, during time.Duration) float64 {
	const hundred = 100
	return hundred * float64(ticks) / ticksPerSecond / during.Seconds() / float64(processes)
}

func meanResident(hosts []*site.Host) float64 {
	total := 0.0
	for _, host := range hosts {
		total += residentBytes(host.Process.PID())
	}
	return total / float64(len(hosts))
}

// ticksOf returns the processor time of the hosts' processes in kernel ticks.
func ticksOf(hosts []*site.Host) int {
	total := 0
	for _, host := range hosts {
		total += processTicks(host.Process.PID())
	}
	return total
}

// processTicks reads the user and system time, the 14th and 15th fields of
// /proc/PID/stat; the fields are counted from the parenthesis that ends the name.
func processTicks(pid int) int {
	const userField, systemField = 11, 12
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0
	}
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	return user + system
}

// measureListsActivation measures the time from writing a change of the lists until
// it is active at all entries, by the number of adapters, and the memory of an
// entry afterwards.
func measureListsActivation(ctx context.Context, report *report, binaries site.Binaries) error {
	const entries = 8
	activation := &series{name: "a change of the lists: put until active at 8 entries", unit: "s", per: "adapter"}
	memory := &series{name: "an entry with these lists, resident", unit: "B", per: "adapter"}
	running, err := startSite(ctx, binaries, entries)
	if err != nil {
		return err
	}
	defer running.Close()
	for _, adapters := range adapterSizes {
		took, err := putAndWait(ctx, running, adapters)
		if err != nil {
			return err
		}
		activation.add(adapters, took.Seconds())
		memory.add(adapters, meanResident(running.Entries))
	}
	report.add(activation, memory)
	return nil
}

func putAndWait(ctx context.Context, running *site.Site, adapters int) (time.Duration, error) {
	current, err := running.Lists(ctx, running.Entries[0])
	if err != nil {
		return 0, err
	}
	next := siteLists(adapters)
	begun := time.Now()
	if err := running.PutLists(ctx, current.Revision, next.Plans, next.Allowances); err != nil {
		return 0, err
	}
	const timeout = 30 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, entry := range running.Entries {
		err := site.Eventually(ctx, func() error { return hasAdapters(ctx, running, entry, adapters) })
		if err != nil {
			return 0, err
		}
	}
	return time.Since(begun), nil
}

// siteLists returns the target's lists with models that fit the site's runners.
func siteLists(adapters int) lists.Snapshot {
	snapshot := makeLists(adapters)
	for i := range snapshot.Allowances.Models {
		snapshot.Allowances.Models[i].MemoryMiB = 1 << 10
		snapshot.Allowances.Models[i].MaxReplicas = 2
	}
	snapshot.Plans.Plans[0].APIKeyHashes = []string{keys.HashAPIKey(site.KeyPrepress)}
	return snapshot
}

func hasAdapters(ctx context.Context, running *site.Site, entry *site.Host, adapters int) error {
	status, err := running.Status(ctx, entry)
	if err != nil {
		return err
	}
	snapshot, err := running.Lists(ctx, running.Entries[0])
	if err != nil {
		return err
	}
	if status.ListsRevision != snapshot.Revision || len(snapshot.Allowances.Adapters) != adapters {
		return fmt.Errorf("entry %s is at revision %d of %d", entry.ID, status.ListsRevision, snapshot.Revision)
	}
	return nil
}
