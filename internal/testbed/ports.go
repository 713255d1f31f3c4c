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

// Ports of the tests of other packages, which run at the same time: each range has one user, as the address of a process
// that has been killed is free until it starts again.
const (
	SoakPorts    = 20000
	GatewayPorts = 26000
	// portsEach is the number of ports in each range.
	portsEach = 6000
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

var addresses = newPorts(firstPort, lastPort)

// AddressPool hands out loopback addresses that nothing listens on, each only once.
type AddressPool struct{ ports *ports }

// NewAddressPool returns addresses of the range that begins at a port. It is meant for one test process.
func NewAddressPool(first int) *AddressPool {
	return &AddressPool{ports: newPorts(first, first+portsEach)}
}

// Free returns a free address, IP:port.
func (a *AddressPool) Free() (string, error) { return a.ports.free() }

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
