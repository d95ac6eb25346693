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

// series is one value at several sizes.
type series struct {
	name string
	// unit is the unit of the value, per what the size counts.
	unit string
	per  string
	// points hold the measured values by rising size.
	points []point
}

type point struct {
	size  int
	value float64
}

func (s *series) add(size int, value float64) {
	s.points = append(s.points, point{size: size, value: value})
}

// slope is the least-squares slope of the value over the size.
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

// processorTime is the time that this process has used, of all its threads.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cost is what one run of a function takes.
type cost struct {
	micros float64
	allocs float64
	bytes  float64
}

// measureCost runs fn for at least a quarter of a second of processor time.
func measureCost(fn func()) cost {
	const least = 250 * time.Millisecond
	fn()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := processorTime()
	runs := 0
	for processorTime()-start < least {
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

// liveHeap is the memory of reachable objects, in bytes.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// heapOf returns the memory that make's result holds, in bytes, and the result.
func heapOf[T any](make func() T) (float64, T) {
	before := liveHeap()
	value := make()
	return liveHeap() - before, value
}

// residentBytes is the resident set of a process, in bytes.
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
