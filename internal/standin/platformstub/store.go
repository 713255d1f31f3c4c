// Package platformstub holds stand-ins of the users' platform for tests: its store and its targets, by their published
// protocol. They run in the process of the test and are never shipped.
package platformstub

import (
	"net/http/httptest"
	"strings"

	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// Fault is how the store treats calls.
type Fault uint8

// Faults of the store.
const (
	// Healthy answers all calls.
	Healthy Fault = iota
	// Busy answers 503.
	Busy
	// Unresponsive accepts calls and answers none.
	Unresponsive
	// LoseResponses carries out appends and does not answer them.
	LoseResponses
)

// manyAnswers is more appends than a test makes.
const manyAnswers = 1 << 30

var faults = map[Fault]standin.StoreFault{
	Healthy: {Mode: standin.StoreUp}, Busy: {Mode: standin.StoreDown}, Unresponsive: {Mode: standin.StoreUnresponsive},
	LoseResponses: {Mode: standin.StoreUp, LoseNextResponses: manyAnswers},
}

// Store is the stand-in of the platform's store on the loopback interface.
type Store struct {
	*standin.Store
	server *httptest.Server
}

// NewStore starts a store. Close ends it.
func NewStore() *Store {
	store := standin.NewStore(standin.StoreOptions{})
	return &Store{Store: store, server: httptest.NewServer(store)}
}

// Address returns IP:port.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close ends the store and its connections.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFault sets how calls are treated from now on.
func (s *Store) SetFault(fault Fault) { s.Store.SetFault(faults[fault]) }

// Put appends a record as an operator or a target does.
func (s *Store) Put(topic, key string, value []byte) {
	s.Store.Put(standin.StorePut{Topic: topic, Records: []standin.Record{{Key: key, Value: value}}})
}
