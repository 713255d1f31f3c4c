// Package kernel contains the plug-in registry and manages the life cycle of plug-ins. It does not depend on any
// plug-in.
//
// Each plug-in registers a constructor in an init function, under a dotted ID such as "platform.log.http". A host
// provisions, validates, starts and stops the plug-ins that its settings select.
package kernel

import (
	"context"
	"sort"
	"sync"

	"github.com/joomcode/errorx"
)

var (
	errNamespace = errorx.NewNamespace("kernel")
	// ErrUnknownPlugin reports an ID under which no plug-in is registered.
	ErrUnknownPlugin = errNamespace.NewType("unknown_plugin")
	// ErrLifecycle reports a plug-in that lacks a required interface, or failed to provision, validate or start.
	ErrLifecycle = errNamespace.NewType("lifecycle")
)

// ID is the dotted name of a plug-in, such as "platform.log.http".
type ID string

// Constructor returns a new plug-in that is not yet provisioned.
type Constructor func() any

// Provisioner is implemented by plug-ins that take settings or dependencies from the host before use.
type Provisioner interface {
	Provision(host any) error
}

// Validator is implemented by plug-ins that check their settings after provisioning.
type Validator interface {
	Validate() error
}

// Starter is implemented by plug-ins that run in the background.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is implemented by plug-ins that drain or release resources. Stop returns when this is done or ctx ends.
type Stopper interface {
	Stop(ctx context.Context) error
}

var registry = struct {
	sync.RWMutex
	constructors map[ID]Constructor
}{constructors: map[ID]Constructor{}}

// Register adds a plug-in to the registry. It panics if the ID is already registered, which is a programming error.
func Register(id ID, constructor Constructor) {
	registry.Lock()
	defer registry.Unlock()
	if _, found := registry.constructors[id]; found {
		panic("kernel: plug-in " + string(id) + " is registered twice")
	}
	registry.constructors[id] = constructor
}

// Registered returns the IDs of all plug-ins in alphabetical order.
func Registered() []ID {
	registry.RLock()
	defer registry.RUnlock()
	ids := make([]ID, 0, len(registry.constructors))
	for id := range registry.constructors {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// New constructs the plug-in with the given ID as a T. It returns ErrUnknownPlugin if there is no such plug-in and
// ErrLifecycle if it does not implement T.
func New[T any](id ID) (T, error) {
	var zero T
	registry.RLock()
	constructor, found := registry.constructors[id]
	registry.RUnlock()
	if !found {
		return zero, ErrUnknownPlugin.New("no plug-in %q; known plug-ins: %v", id, Registered())
	}
	plugin, ok := constructor().(T)
	if !ok {
		return zero, ErrLifecycle.New("plug-in %q does not implement the required interface", id)
	}
	return plugin, nil
}

// Set manages the life cycle of the plug-ins of one host, in the order in which they were added. It is not safe for
// concurrent use.
type Set struct {
	entries []entry
	started int
}

type entry struct {
	id     ID
	plugin any
}

// Add appends a plug-in to the set.
func (s *Set) Add(id ID, plugin any) {
	s.entries = append(s.entries, entry{id: id, plugin: plugin})
}

// Provision provisions and validates every plug-in. It returns ErrLifecycle for the first that fails.
func (s *Set) Provision(host any) error {
	for _, e := range s.entries {
		if p, ok := e.plugin.(Provisioner); ok {
			if err := p.Provision(host); err != nil {
				return ErrLifecycle.Wrap(err, "plug-in %q failed to provision", e.id)
			}
		}
		if v, ok := e.plugin.(Validator); ok {
			if err := v.Validate(); err != nil {
				return ErrLifecycle.Wrap(err, "plug-in %q has invalid settings", e.id)
			}
		}
	}
	return nil
}

// Start starts every plug-in. If one fails, it stops those already started and returns ErrLifecycle.
func (s *Set) Start(ctx context.Context) error {
	for _, e := range s.entries {
		if starter, ok := e.plugin.(Starter); ok {
			if err := starter.Start(ctx); err != nil {
				stopErr := s.Stop(ctx)
				return ErrLifecycle.Wrap(errorx.DecorateMany("start", err, stopErr), "plug-in %q failed to start", e.id)
			}
		}
		s.started++
	}
	return nil
}

// Stop stops the started plug-ins in reverse order. It continues after an error and returns all errors combined.
func (s *Set) Stop(ctx context.Context) error {
	var errs []error
	for ; s.started > 0; s.started-- {
		if stopper, ok := s.entries[s.started-1].plugin.(Stopper); ok {
			if err := stopper.Stop(ctx); err != nil {
				errs = append(errs, err)
			}
		}
	}
	if len(errs) == 0 {
		return nil
	}
	return errorx.DecorateMany("stop", errs...)
}
