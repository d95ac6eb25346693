package site

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// firstPort and lastPort bound the free ports. They lie below the kernel's range of
	// ephemeral ports: an outgoing connection with such a port could occupy the port of
	// a process while it restarts.
	firstPort = 10000
	lastPort  = 32000
	// blockSize is the number of ports in the block that a test process reserves for
	// itself.
	blockSize = 2000
	// maxPortTries bounds the search for a port that is free for TCP and UDP.
	maxPortTries = 100
)

// errNoFreePort means that no port is free.
var errNoFreePort = errors.New("site: no free port")

// portBlock is the range of ports of this process. Each port is allocated once before
// any is reused: a port appears free until the process that it was allocated to
// listens, and while that process restarts.
type portBlock struct {
	mu sync.Mutex
	// lock listens on the block's first port to exclude other processes.
	lock  net.Listener
	first int
	used  int
}

var processPorts portBlock

// nextPort returns the block's next port.
func (b *portBlock) nextPort() (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lock == nil {
		if err := b.claim(); err != nil {
			return 0, err
		}
	}
	port := b.first + 1 + b.used%(blockSize-1)
	b.used++
	return port, nil
}

// claim reserves a block that no other process has reserved.
func (b *portBlock) claim() error {
	for _, index := range rand.Perm((lastPort - firstPort) / blockSize) {
		first := firstPort + index*blockSize
		lock, err := net.Listen("tcp", loopback(first))
		if err == nil {
			b.lock, b.first = lock, first
			return nil
		}
	}
	return errNoFreePort
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// addressAllocator allocates loopback addresses: with consecutive ports from a base,
// or with free ports if the base is zero.
type addressAllocator struct {
	nextFixed int
	// reserved releases the free ports, which stay bound until all are allocated.
	reserved []func()
}

// allocate returns the next address.
func (a *addressAllocator) allocate() (string, error) {
	if a.nextFixed > 0 {
		address := loopback(a.nextFixed)
		a.nextFixed++
		return address, nil
	}
	for range maxPortTries {
		port, err := processPorts.nextPort()
		if err != nil {
			return "", err
		}
		if address := loopback(port); a.reserve(address) {
			return address, nil
		}
	}
	return "", errNoFreePort
}

// reserve binds an address for TCP and UDP. It returns false if the address is in use.
func (a *addressAllocator) reserve(address string) bool {
	stream, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		_ = stream.Close()
		return false
	}
	a.reserved = append(a.reserved, func() {
		_ = stream.Close()
		_ = packets.Close()
	})
	return true
}

// release closes the reserved ports, so that the processes can bind them.
func (a *addressAllocator) release() {
	for _, free := range a.reserved {
		free()
	}
	a.reserved = nil
}

// FreeAddresses returns loopback addresses that are free for TCP and UDP.
func FreeAddresses(count int) ([]string, error) {
	allocator := &addressAllocator{}
	defer allocator.release()
	addresses := make([]string, count)
	for i := range addresses {
		if err := allocateAll(allocator, &addresses[i]); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}
