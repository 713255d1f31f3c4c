// Package registry keeps the registered targets and says which of them may get work.
//
// It is a deterministic state machine: records, failures and the clock are passed in.
package registry

import (
	"sort"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// returnGrace is how long an entry that lapsed while the store was away may still return. The platform states about
	// two seconds after its return, which this VM notices some tenths of a second late.
	returnGrace = 1800 * time.Millisecond
	// catchUp is how long after an outage of the store a removal that is read is taken as a lapse. Later removals happened
	// after the outage and are final.
	catchUp = 500 * time.Millisecond
	// zoneReturnWait is how long the targets of a zone that is taken back get no work, so that fresh reports can tell
	// which of them are cold: a heartbeat and a poll of the registry.
	zoneReturnWait = 2 * time.Second
)

type entry struct {
	target fleet.Target
	// readAt is when the last report of the target was read.
	readAt model.Instant
	// goneAt is when a lapsed entry is dropped; 0 if it has not lapsed.
	goneAt model.Instant
	// failedAt is when this VM last found the target unreachable; a later report clears it.
	failedAt model.Instant
}

// Registry holds the registered targets of one VM. All methods must be called under one lock.
type Registry struct {
	regions map[model.Zone]model.Region
	entries map[model.TargetID]*entry
	// evacuated zones get no work; returned holds when a zone was taken back.
	evacuated map[model.Zone]bool
	returned  map[model.Zone]model.Instant
	// outageEnd is when the store last answered again after an outage.
	outageEnd model.Instant
	outage    bool
	version   uint64
}

// New returns an empty registry of a deployment with the given zones.
func New(regions map[model.Zone]model.Region) *Registry {
	return &Registry{
		regions: regions, entries: map[model.TargetID]*entry{},
		evacuated: map[model.Zone]bool{}, returned: map[model.Zone]model.Instant{},
	}
}

// Version increases with each change that affects who may get work.
func (r *Registry) Version() uint64 { return r.version }

// SetStoreAvailable tells whether the store answered a read.
func (r *Registry) SetStoreAvailable(now model.Instant, answered bool) {
	if answered && r.outage {
		r.outageEnd = now
	}
	r.outage = !answered
}

// Report records a registration. It returns true if more than the time of the report changed.
func (r *Registry) Report(now model.Instant, target fleet.Target, coldLeft time.Duration) bool {
	target.Region = r.regions[target.Zone]
	if coldLeft > 0 {
		target.ColdUntil = now.Add(coldLeft)
	}
	known := r.entries[target.ID]
	if known == nil {
		r.entries[target.ID] = &entry{target: target, readAt: now}
		r.version++
		return true
	}
	if target.StartedAtMillis < known.target.StartedAtMillis {
		return false
	}
	changed := known.goneAt != 0 || known.failedAt != 0 || !sameTarget(known.target, target)
	known.target = target
	known.readAt = now
	known.goneAt = 0
	known.failedAt = 0
	if changed {
		r.version++
	}
	return changed
}

func sameTarget(a, b fleet.Target) bool {
	cold := a.ColdUntil != 0 == (b.ColdUntil != 0)
	a.ColdUntil, b.ColdUntil = 0, 0
	return a == b && cold
}

// Remove records that an entry was removed. Right after an outage of the store the entry may have lapsed although the
// target lives, so it is kept for a while.
func (r *Registry) Remove(now model.Instant, id model.TargetID) bool {
	known := r.entries[id]
	if known == nil {
		return false
	}
	if r.outage || r.outageEnd != 0 && now.Sub(r.outageEnd) < catchUp {
		if known.goneAt == 0 {
			known.goneAt = max(now, r.outageEnd).Add(returnGrace)
		}
		return false
	}
	delete(r.entries, id)
	r.version++
	return true
}

// IDs returns the IDs of all entries.
func (r *Registry) IDs() []model.TargetID {
	ids := make([]model.TargetID, 0, len(r.entries))
	for id := range r.entries {
		ids = append(ids, id)
	}
	return ids
}

// Expire drops lapsed entries whose grace has passed.
func (r *Registry) Expire(now model.Instant) []model.TargetID {
	var dropped []model.TargetID
	for id, e := range r.entries {
		if e.goneAt != 0 && now >= e.goneAt && !r.outage {
			delete(r.entries, id)
			r.version++
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// SetEvacuated records whether a zone is to receive no work.
func (r *Registry) SetEvacuated(now model.Instant, zone model.Zone, evacuated bool) bool {
	if r.evacuated[zone] == evacuated {
		return false
	}
	if evacuated {
		r.evacuated[zone] = true
	} else {
		delete(r.evacuated, zone)
		r.returned[zone] = now
	}
	r.version++
	return true
}

// Evacuated reports whether a zone is to receive no work.
func (r *Registry) Evacuated(zone model.Zone) bool { return r.evacuated[zone] }

// EvacuatedZones returns the zones that receive no work.
func (r *Registry) EvacuatedZones() []model.Zone {
	zones := make([]model.Zone, 0, len(r.evacuated))
	for zone := range r.evacuated {
		zones = append(zones, zone)
	}
	return zones
}

// RecordFailure records that this VM could not reach a life of a target. The target gets no more work from this VM until its
// next report, which also tells whether it came back cold.
func (r *Registry) RecordFailure(now model.Instant, life fleet.Incarnation) {
	if known := r.entries[life.ID]; known != nil && known.target.StartedAtMillis == life.StartedAtMillis {
		known.failedAt = now
	}
}

// FailedTargets returns the targets that could not be reached and have not reported since.
func (r *Registry) FailedTargets() []model.TargetID {
	var failed []model.TargetID
	for id, e := range r.entries {
		if e.failedAt != 0 {
			failed = append(failed, id)
		}
	}
	return failed
}

// State says whether a target may get work.
type State uint8

// States of targets.
const (
	// Serving targets take work.
	Serving State = iota
	// Cold targets take little work.
	Cold
	// Unavailable targets take none.
	Unavailable
)

func (r *Registry) state(now model.Instant, e *entry) State {
	switch {
	case e.target.Draining, r.evacuated[e.target.Zone]:
		return Unavailable
	case e.failedAt != 0:
		return Unavailable
	case r.returned[e.target.Zone] != 0 && now.Sub(r.returned[e.target.Zone]) < zoneReturnWait:
		return Unavailable
	case now < e.target.ColdUntil:
		return Cold
	}
	return Serving
}

// Entry is a registered target and its state.
type Entry struct {
	Target fleet.Target
	State  State
	// Leaving is true if the target drains, or its zone is out of service.
	Leaving bool
	// Age is the time since the last report was read.
	Age time.Duration
}

// Lookup returns a registered target.
func (r *Registry) Lookup(now model.Instant, id model.TargetID) (Entry, bool) {
	e := r.entries[id]
	if e == nil {
		return Entry{}, false
	}
	return r.entry(now, e), true
}

func (r *Registry) entry(now model.Instant, e *entry) Entry {
	return Entry{
		Target: e.target, State: r.state(now, e), Age: now.Sub(e.readAt),
		Leaving: e.target.Draining || r.evacuated[e.target.Zone],
	}
}

// Service returns the targets of a service in order of their IDs.
func (r *Registry) Service(now model.Instant, service model.Service) []Entry {
	var list []Entry
	for _, e := range r.entries {
		if e.target.Service == service {
			list = append(list, r.entry(now, e))
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Target.ID < list[j].Target.ID })
	return list
}

// Len returns the number of registered targets.
func (r *Registry) Len() int { return len(r.entries) }
