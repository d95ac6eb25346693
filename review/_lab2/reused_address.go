package main

import (
	"fmt"
	"syscall"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

const (
	// silenceTime is three heartbeat intervals, after which the store removes the entry of
	// a runner that has crashed. It is longer than addrReuseS, 2 s.
	silenceTime = 3600 * time.Millisecond
	// calmBefore is the time in calm before the first disruption.
	calmBefore = 5 * time.Second
	// modelRunners is the number of model runners, of which one is lost.
	modelRunners = 7
)

// startRunner starts a model runner.
func (l *lab) startRunner(id, address string) (*backendserver.Server, error) {
	runner, err := backendserver.Start(address, l.store, backendserver.Options{
		ID: id, Service: "huvo11a", Zone: "nl-west-a", Slots: 32, Queue: 96,
		Engine: &backendserver.Engine{MB: 200000, AdapterSlots: 8, Loaded: []string{"daka510000"}, Models: []backendserver.Model{
			{Name: "daka510000", MB: 65500, AdapterMB: 40, FromStore: 6 * time.Second, FromDisk: time.Second, FromMemory: 380 * time.Millisecond},
		}},
	})
	if err != nil {
		return nil, err
	}
	l.note("runner %s of huvo11a registers at %s", id, address)
	return runner, nil
}

// playReusedAddress plays a model runner that is lost for good, whose address the first server
// of another service gets, and a final fault after it.
func playReusedAddress(l *lab, trouble bool) error {
	runnerAddress, newAddress := l.ip(2, 1)+":8505", l.ip(3, 2)+":8300"
	if trouble {
		newAddress = runnerAddress
	}
	runner, err := l.startRunner("i-7f3a91c2", runnerAddress)
	if err != nil {
		return err
	}
	for number := 2; number <= modelRunners; number++ {
		if _, err := l.startRunner(fmt.Sprintf("i-7f3a91d%d", number), l.ip(2, number)+":8505"); err != nil {
			return err
		}
	}
	if err := l.configure(bookingConfiguration()); err != nil {
		return err
	}
	entries, err := l.startEntries()
	if err != nil {
		return err
	}
	processes := []*process{entries[0].process, entries[1].process}
	for number := 1; number <= modelRunners; number++ {
		agent, err := l.newAgent(number, l.ip(2, number)+":8505")
		if err != nil {
			return err
		}
		if err := agent.start(); err != nil {
			return err
		}
		processes = append(processes, agent)
	}
	time.Sleep(calmBefore)

	runner.Close()
	l.note("runner i-7f3a91c2 has crashed and is lost for good")
	time.Sleep(silenceTime)
	l.store.Remove("servers/i-7f3a91c2")
	l.note("the entry of runner i-7f3a91c2 is removed after three heartbeat intervals")
	l.serveBookings("i-ddbcef27", newAddress)
	l.register("i-ddbcef27", "xano55b", newAddress, map[string]any{"slots": 6})
	before := l.sample(entries, sampleTime)
	l.note("before the final fault %s", before)

	l.note("final fault: all processes are killed")
	for _, p := range processes {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		<-p.done
	}
	time.Sleep(restartDelay)
	for _, p := range processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	l.note("the platform has started them again")
	time.Sleep(recoverTime)
	after := l.sample(entries, sampleTime)
	l.note("later than recoverS after that %s", after)
	return checkRecovery(before, after)
}

// checkRecovery checks the rule RECOVER.
func checkRecovery(before, after sampled) error {
	if 4*before.served < before.sent {
		return fmt.Errorf("less than a quarter was served before the final fault")
	}
	if 4*after.served < after.sent {
		return fmt.Errorf("%w: %d of %d requests were served later than recoverS after the final fault; a quarter is the least", errBroken, after.served, after.sent)
	}
	return nil
}
