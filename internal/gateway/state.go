package gateway

import (
	"sync"
	"sync/atomic"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/registry"
)

// state is a VM's view of the deployment. Lock order: mu before the locks of the picker and the pools. With mu held,
// only the registry is called, apart from logging and controller.viewChanged.
type state struct {
	config atomic.Pointer[fleet.Config]
	table  atomic.Pointer[keyspace.Table]

	mu       sync.Mutex
	registry *registry.Registry
	changed  chan struct{}
	// registryRead is true once the whole registry has been read.
	registryRead bool
}

func newState(regions map[model.Zone]model.Region) *state {
	s := &state{registry: registry.New(regions), changed: make(chan struct{})}
	return s
}

// change returns a channel that is closed at the next change of the state.
func (s *state) change() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *state) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// withRegistry runs a function on the registry and wakes waiting requests if the registry changed.
func (s *state) withRegistry(use func(*registry.Registry)) {
	s.mu.Lock()
	before := s.registry.Version()
	use(s.registry)
	after := s.registry.Version()
	s.mu.Unlock()
	if before != after {
		s.notify()
	}
}

// service returns the targets of a service.
func (s *state) service(now model.Instant, service model.Service) []registry.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Service(now, service)
}

func (s *state) lookup(now model.Instant, id model.TargetID) (registry.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Lookup(now, id)
}

func (s *state) setConfig(config *fleet.Config) {
	s.config.Store(config)
	s.notify()
}

func (s *state) setTable(table *keyspace.Table) {
	s.table.Store(table)
	s.notify()
}

// complete reports whether the configuration, the assignment and the registry have each been read once.
func (s *state) complete() bool {
	if s.config.Load() == nil || s.table.Load() == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registryRead
}

// failedTargets returns the targets that this VM could not reach and that have not reported since.
func (s *state) failedTargets() []model.TargetID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.FailedTargets()
}

// markedLeaving returns the targets that told this VM that they are about to stop and that the store has as ready.
func (s *state) markedLeaving() []fleet.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.MarkedLeaving()
}
