package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// simulatedService is the service of all simulated servers.
const simulatedService = "service"

// detectorDownTime is how long no detector runs at a restart.
const detectorDownTime = 250 * time.Millisecond

// published returns a state as hosts receive it.
func (s *simulation) published(state *State) *State {
	received := *state
	received.Instance = s.instance
	received.Kept = nil
	for _, kept := range state.Kept {
		kept.Service = simulatedService
		received.Kept = append(received.Kept, kept)
	}
	return &received
}

// report keeps a report at its entry, and gives it to the detector if it runs.
func (s *simulation) report(entry int, crash Crash) {
	s.lastReport++
	crash.Report = s.lastReport
	s.memories[entry].RecordCrash(s.now, simulatedService, crash)
	if !s.isDown {
		s.record(s.detector.RecordCrash(s.now, crash))
	}
}

// restartDetector replaces the detector by one without evidence, to which each entry hands
// over what it has.
func (s *simulation) restartDetector() {
	s.isDown = true
	s.after(detectorDownTime, func() {
		s.detector, s.isDown = Detector{}, false
		s.instance++
		for entry := range s.entries {
			s.after(s.between(50*time.Millisecond, 300*time.Millisecond), func() { s.handOver(entry) })
		}
	})
	s.after(s.restartPeriod, s.restartDetector)
}

func (s *simulation) handOver(entry int) {
	if s.isDown {
		return
	}
	memory := s.memories[entry]
	crashes, _ := memory.Since(s.now, simulatedService, 0)
	for i := range crashes {
		crashes[i].Starts = s.lists[entry].Starts(s.now, crashes[i].Suspects)
	}
	starts, blocks := memory.Starts(s.now, simulatedService), s.lists[entry].Kept(simulatedService)
	if len(crashes)+len(starts)+len(blocks) > 0 {
		s.record(s.detector.HandOver(s.now, Handover{Crashes: crashes, Starts: starts, Blocks: blocks}))
	}
}

func TestCrashesEndInTimeWhileDetectorsRestart(t *testing.T) {
	for _, period := range []time.Duration{1100 * time.Millisecond, 3 * time.Second} {
		for _, load := range []float64{1, 3, 10, 30} {
			for _, isRepeated := range []bool{false, true} {
				for _, deadlyRate := range []float64{0.3, 1, 3} {
					t.Run(fmt.Sprintf("period=%s,requests=%g,repeated=%t,deadly=%g", period, load, isRepeated, deadlyRate), func(t *testing.T) {
						w := site(load)
						w.deadlyRate, w.isRepeated, w.restartPeriod = deadlyRate, isRepeated, period
						checkDeadly(t, w)
					})
				}
			}
		}
	}
}

func TestCrashesOfOtherCausesBlockNobodyWhileDetectorsRestart(t *testing.T) {
	for _, period := range []time.Duration{1100 * time.Millisecond, 3 * time.Second} {
		for _, load := range []float64{1, 3, 10, 30} {
			for _, together := range []int{1, 4} {
				t.Run(fmt.Sprintf("period=%s,requests=%g,together=%d", period, load, together), func(t *testing.T) {
					for seed := range *simulationSeeds {
						w := site(load)
						w.crashRate, w.together, w.restartPeriod = 1, together, period
						s := newSimulation(w, seed)
						s.runAll()
						if len(s.changes) > 0 {
							t.Errorf("seed %d: %d crashes, %d sound requests refused, blocks: %s", seed, s.allCrashes, s.blocked, describe(s.changes))
						}
					}
				})
			}
		}
	}
}
