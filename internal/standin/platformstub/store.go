// Package platformstub provides stand-ins for the users' platform in tests: its store and its targets, which implement
// the published protocol. They run in the test process and are never shipped.
package platformstub

import (
	"net/http/httptest"
	"strings"

	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// Fault determines how the store handles requests.
type Fault uint8

// Faults of the store.
const (
	// Healthy processes all requests.
	Healthy Fault = iota
	// Busy responds with status 503.
	Busy
	// Unresponsive accepts requests and sends no response.
	Unresponsive
	// LoseResponses executes appends without sending a response.
	LoseResponses
)

// manyResponses is higher than the number of appends in any test.
const manyResponses = 1 << 30

var faults = map[Fault]standin.StoreFault{
	Healthy: {Mode: standin.StoreUp}, Busy: {Mode: standin.StoreDown}, Unresponsive: {Mode: standin.StoreUnresponsive},
	LoseResponses: {Mode: standin.StoreUp, LoseNextResponses: manyResponses},
}

// Store is a stand-in for the platform's store that listens on the loopback interface.
type Store struct {
	*standin.Store
	server *httptest.Server
}

// NewStore starts a store. The caller must close it.
func NewStore() *Store { return NewStoreInEra(0) }

// NewStoreInEra is like NewStore, with a store that starts in an era. In era 0 it sends no header of the era.
func NewStoreInEra(era uint64) *Store {
	store := standin.NewStore(standin.StoreOptions{Era: era})
	return &Store{Store: store, server: httptest.NewServer(store)}
}

// Address returns the address as IP:port.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close stops the store and closes its connections.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFault sets how requests are handled from now on.
func (s *Store) SetFault(fault Fault) { s.Store.SetFault(faults[fault]) }

// Put appends a record to a keyed topic, as an operator or a target does.
func (s *Store) Put(topic, key string, value []byte) {
	s.Store.Put(standin.StorePut{Topic: topic, Records: []standin.Record{{Key: key, Value: value}}})
}
