package main

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// link is the network between the entries and a runner: a proxy at the runner's address.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	count int
	// open holds the numbers of the open connections, silent those that carry nothing any
	// more.
	open   map[int]bool
	silent map[int]bool
	// lostEnd is the number of the connection whose end is lost once and sent again
	// lostFor later; zero for none.
	lostEnd int
	lostFor time.Duration
	// cut is set while new connections are refused, conns are the open ones. readAt is when
	// the registrations of runners were last read over the link.
	cut    bool
	conns  map[int]net.Conn
	readAt time.Time
}

// registrationsRead is in each call that reads the registrations of runners.
var registrationsRead = []byte("pathPrefix=servers")

// setCut cuts the link, with resets, or heals it.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	if !cut {
		return
	}
	for _, near := range k.conns {
		reset(near)
	}
}

// reset resets a connection.
func reset(connection net.Conn) {
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
}

// lastRead returns when the registrations were last read.
func (k *link) lastRead() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.readAt
}

// newLink opens the network to a runner.
func (l *lab) newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	k := &link{listener: listener, target: target, open: make(map[int]bool), silent: make(map[int]bool), conns: make(map[int]net.Conn)}
	l.atEnd(k.close)
	go k.serve()
	return k, nil
}

// close closes the address: new connections are refused.
func (k *link) close() { _ = k.listener.Close() }

// loseEnd has the packet lost that ends one of the open connections, drawn by chance, and
// sent again later. It returns its number and the number of open connections.
func (k *link) loseEnd(later time.Duration) (number, open int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	numbers := slices.Sorted(maps.Keys(k.open))
	if len(numbers) == 0 {
		return 0, 0
	}
	k.lostEnd, k.lostFor = numbers[rand.IntN(len(numbers))], later
	return k.lostEnd, len(numbers)
}

// openNumbers returns the numbers of the open connections that aren't silent.
func (k *link) openNumbers() []int {
	k.mu.Lock()
	defer k.mu.Unlock()
	var numbers []int
	for number := range k.open {
		if !k.silent[number] {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// silence has a connection go silent for good, without a reset.
func (k *link) silence(number int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent[number] = true
}

// isSilent reports whether a connection carries nothing any more.
func (k *link) isSilent(number int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.silent[number]
}

// copy carries one direction of a connection.
func (k *link) copy(number int, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if k.isSilent(number) {
			// What arrives is lost, also the end.
			if err == nil {
				continue
			}
			return
		}
		if bytes.Contains(buffer[:n], registrationsRead) {
			k.mu.Lock()
			k.readAt = time.Now()
			k.mu.Unlock()
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (k *link) serve() {
	for {
		near, err := k.listener.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		k.count++
		number := k.count
		cut := k.cut
		if !cut {
			k.open[number] = true
			k.conns[number] = near
		}
		k.mu.Unlock()
		if cut {
			reset(near)
			continue
		}
		go k.carry(number, near)
	}
}

// carry carries one connection.
func (k *link) carry(number int, near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer far.Close()
	go func() {
		k.copy(number, far, near)
		_ = far.(*net.TCPConn).CloseWrite()
	}()
	k.copy(number, near, far)
	k.mu.Lock()
	lost := k.lostEnd == number
	later := k.lostFor
	k.mu.Unlock()
	if lost {
		time.Sleep(later)
	}
	k.mu.Lock()
	delete(k.open, number)
	delete(k.conns, number)
	k.mu.Unlock()
}
