package testbed

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
)

const (
	// firstPort and lastPort are below the ephemeral port range of Linux, so that no outgoing connection takes a port
	// between its reservation and the start of the process that listens on it.
	firstPort = 14000
	lastPort  = 20000
	loopback  = "127.0.0.1"
)

// First ports of the ranges for the tests of other packages, which run at the same time. Each package has its own
// range, because the address of a killed process is free until the process is restarted, and another package could take
// it.
const (
	SoakPorts    = 20000
	GatewayPorts = 26000
	// portsPerRange is the number of ports in each range.
	portsPerRange = 6000
)

// ports allocates loopback addresses that nothing listens on, each only once. All clusters of this process share one
// instance, because an address stays free until the process that it was allocated for listens on it.
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

// AddressPool allocates loopback addresses that nothing listens on, each only once.
type AddressPool struct{ ports *ports }

// NewAddressPool returns a pool for the range that begins at port first. Only one test process may use a range at a
// time.
func NewAddressPool(first int) *AddressPool {
	return &AddressPool{ports: newPorts(first, first+portsPerRange)}
}

// Free allocates a free address, IP:port. It returns an error if the range has none left.
func (a *AddressPool) Free() (string, error) { return a.ports.free() }

// free allocates the next free address of the range.
func (p *ports) free() (string, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for range p.last - p.first {
		address := net.JoinHostPort(loopback, strconv.Itoa(p.next))
		if p.next++; p.next >= p.last {
			p.next = p.first
		}
		if p.reserveLocked(address) {
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// reserve allocates the given address and reports whether it was free.
func (p *ports) reserve(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reserveLocked(address)
}

// reserveLocked is reserve for callers that hold the mutex.
func (p *ports) reserveLocked(address string) bool {
	if p.used[address] {
		return false
	}
	// A child process that is forked while the listener is open holds a copy of it until it executes its program, and the
	// address would accept connections until then.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	p.used[address] = true
	return listener.Close() == nil
}
