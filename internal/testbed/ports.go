package testbed

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

const (
	// firstPort and lastPort lie below the ports that Linux chooses for outgoing connections, so that a connection does
	// not take a port between its choice and the start of the process that listens on it.
	firstPort = 14000
	lastPort  = 20000
	// firstSharedPort and lastSharedPort are those of FreeAddress. Tests of other packages run at the same time as those of
	// this one, and the address of a process that has been killed is free until it starts again.
	firstSharedPort = 20000
	lastSharedPort  = 26000
	loopback        = "127.0.0.1"
)

// ports hands out loopback addresses that nothing listens on, each only once. All clusters of a process share one, because
// an address is free until the process that it was handed out for listens on it.
type ports struct {
	mutex       sync.Mutex
	first, last int
	next        int
	used        map[string]bool
}

func newPorts(first, last int) *ports {
	return &ports{first: first, last: last, next: first + rand.IntN(last-first), used: map[string]bool{}}
}

var (
	addresses       = newPorts(firstPort, lastPort)
	sharedAddresses = newPorts(firstSharedPort, lastSharedPort)
)

// FreeAddress returns a loopback address that nothing listens on and that is handed out only once. It serves the tests of
// other packages.
func FreeAddress() (string, error) { return sharedAddresses.free() }

// free returns a free address.
func (p *ports) free() (string, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for range p.last - p.first {
		address := net.JoinHostPort(loopback, strconv.Itoa(p.next))
		if p.next++; p.next >= p.last {
			p.next = p.first
		}
		if p.reserve(address) {
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// take reserves an address if it is free.
func (p *ports) take(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reserve(address)
}

// reserve is take while the mutex is held.
func (p *ports) reserve(address string) bool {
	if p.used[address] {
		return false
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	p.used[address] = true
	return listener.Close() == nil
}
