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
	loopback  = "127.0.0.1"
)

// ports hands out loopback addresses that nothing listens on, each only once. All clusters of a process share one, because
// an address is free until the process that it was handed out for listens on it.
type ports struct {
	mutex sync.Mutex
	next  int
	used  map[string]bool
}

var addresses = &ports{next: firstPort + rand.IntN(lastPort-firstPort), used: map[string]bool{}}

// FreeAddress returns a loopback address that nothing listens on and that is handed out only once.
func FreeAddress() (string, error) { return addresses.free() }

// free returns a free address.
func (p *ports) free() (string, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for range lastPort - firstPort {
		address := net.JoinHostPort(loopback, strconv.Itoa(p.next))
		if p.next++; p.next >= lastPort {
			p.next = firstPort
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
