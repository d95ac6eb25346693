package main

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// report prints series as rows of a table.
type report struct {
	out io.Writer
}

// series holds the values of one measurement at several sizes.
type series struct {
	name string
	// unit is the unit of the value; per is what the size counts.
	unit string
	per  string
	// points holds the measured values in ascending order of size.
	points []point
}

type point struct {
	size  int
	value float64
}

func (s *series) add(size int, value float64) {
	s.points = append(s.points, point{size: size, value: value})
}

// slope returns the least-squares slope of the value over the size.
func (s *series) slope() float64 {
	n := float64(len(s.points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range s.points {
		x := float64(p.size)
		sumX += x
		sumY += p.value
		sumXX += x * x
		sumXY += x * p.value
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return 0
	}
	return (n*sumXY - sumX*sumY) / spread
}

func (r *report) header() {
	fmt.Fprintf(r.out, "%s %s/%s, %d processors, %s\n\n", runtime.Version(), runtime.GOOS, runtime.GOARCH,
		runtime.NumCPU(), time.Now().UTC().Format(time.RFC3339))
	fmt.Fprintln(r.out, "| series | unit | size: value | slope |")
	fmt.Fprintln(r.out, "|---|---|---|---|")
}

func (r *report) add(all ...*series) {
	for _, s := range all {
		values := make([]string, len(s.points))
		for i, p := range s.points {
			values[i] = fmt.Sprintf("%d: %s", p.size, format(p.value))
		}
		slope := ""
		if len(s.points) > 1 {
			slope = fmt.Sprintf("%s %s/%s", format(s.slope()), s.unit, s.per)
		}
		fmt.Fprintf(r.out, "| %s | %s | %s | %s |\n", s.name, s.unit, strings.Join(values, ", "), slope)
	}
}

func format(value float64) string {
	const digits = 4
	return strconv.FormatFloat(value, 'g', digits, 64)
}

// processorTime returns the processor time used by all threads of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cost is the mean cost of one call of a function.
type cost struct {
	micros float64
	allocs float64
	bytes  float64
}

// measureCost calls fn for at least a quarter of a second of processor time.
func measureCost(fn func()) cost {
	const minDuration = 250 * time.Millisecond
	fn()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := processorTime()
	runs := 0
	for processorTime()-start < minDuration {
		fn()
		runs++
	}
	used := processorTime() - start
	runtime.ReadMemStats(&after)
	return cost{
		micros: float64(used.Nanoseconds()) / 1e3 / float64(runs),
		allocs: float64(after.Mallocs-before.Mallocs) / float64(runs),
		bytes:  float64(after.TotalAlloc-before.TotalAlloc) / float64(runs),
	}
}

// liveHeap returns the memory of reachable objects and of stacks, in bytes.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// measureHeap returns the memory that the result of create occupies, in bytes, and
// the result.
func measureHeap[T any](create func() T) (float64, T) {
	before := liveHeap()
	value := create()
	return liveHeap() - before, value
}

// residentBytes returns the resident set size of a process.
func residentBytes(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize())
}
