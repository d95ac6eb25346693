package callerlimits

import (
	"fmt"
	"os"
	"strings"
	"syscall"
)

// bytesPerMB converts megabytes.
const bytesPerMB = 1_000_000

// memoryPath is the kernel's file on the machine's memory.
const memoryPath = "/proc/meminfo"

// ProcessResources returns the resources of this process. memoryMB and descriptors are those
// of its settings; zero means those that the kernel names.
func ProcessResources(memoryMB float64, descriptors int) (Resources, error) {
	resources := Resources{Memory: int64(memoryMB * bytesPerMB), Descriptors: descriptors}
	if resources.Memory == 0 {
		total, err := machineMemory()
		if err != nil {
			return Resources{}, err
		}
		resources.Memory = total
	}
	if resources.Descriptors == 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			return Resources{}, fmt.Errorf("read the limit of descriptors: %w", err)
		}
		const most = 1 << 20
		resources.Descriptors = int(min(limit.Cur, most))
	}
	return resources, nil
}

// machineMemory returns the memory of the machine in bytes.
func machineMemory() (int64, error) {
	data, err := os.ReadFile(memoryPath)
	if err != nil {
		return 0, fmt.Errorf("read the machine's memory: %w", err)
	}
	_, rest, _ := strings.Cut(string(data), "MemTotal:")
	var kibibytes int64
	if _, err := fmt.Sscan(rest, &kibibytes); err != nil {
		return 0, fmt.Errorf("read the machine's memory: %w", err)
	}
	return kibibytes << 10, nil
}
