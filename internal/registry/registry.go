// Package registry tracks the registered targets and decides which of them may get requests.
//
// It is a deterministic state machine: records, failures and the clock are passed in.
package registry

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// expiredEntryGrace is how long an entry that expired during an outage of the store is kept for its target to register
	// again. The platform specifies about two seconds after the end of the outage, which this VM detects a few tenths of a
	// second late.
	expiredEntryGrace = 1800 * time.Millisecond
	// outageRemovalWindow is how long after an outage of the store a removal counts as the expiry of an entry that could
	// not be renewed. Removals read later happened after the outage and are final.
	outageRemovalWindow = 500 * time.Millisecond
	// leavingRetention is how long a target that stated that it is about to stop is remembered after its entry is gone. It
	// exceeds the time for which targets serve after they have announced their stop, and every outage of the store.
	leavingRetention = 10 * time.Minute
	// zoneRestoreDelay is how long the targets of a zone that was restored to service get no requests, so that new reports
	// can show which of them are cold. It covers one heartbeat and one poll of the registry.
	zoneRestoreDelay = 2 * time.Second
	// lateReportLimit is how long after a report an earlier one of the same incarnation may still arrive. The store may
	// execute a write whose response was lost seconds later. After that time without a newer report the number of the last
	// one is taken for an error of another writer.
	lateReportLimit = 30 * time.Second
	// coldTolerance is by how much a report may prolong a cold start without counting as a change. It covers the varying
	// time between the write of a report and its reading.
	coldTolerance = 200 * time.Millisecond
)

type entry struct {
	target fleet.Target
	// sharedColdUntil is the end of the cold start in the last report that counted as a change, which other VMs know.
	sharedColdUntil model.Instant
	// coldSince is when this VM learned of the target's current cold start; 0 if there was none.
	coldSince model.Instant
	// checkedAt is when the target last stated its cold start to this VM itself; 0 if it did not.
	checkedAt model.Instant
	// readAt is when the last report of the target was read.
	readAt model.Instant
	// dropAt is when an expired entry is dropped; 0 if it has not expired.
	dropAt model.Instant
}

// lastReport is the number of an incarnation's last report, and when it was read.
type lastReport struct {
	number uint64
	at     model.Instant
}

// Registry holds the registered targets as known to one VM. All methods must be called under one lock.
type Registry struct {
	regions map[model.Zone]model.Region
	entries map[model.TargetID]*entry
	// byService caches the entries of each service in order of their IDs; nil after a change of the entries.
	byService map[model.Service][]*entry
	// evacuated holds the zones that get no requests, restoredAt when a zone was last restored to service.
	evacuated  map[model.Zone]bool
	restoredAt map[model.Zone]model.Instant
	// outageEndedAt is when the store last responded again after an outage.
	outageEndedAt model.Instant
	outage        bool
	version       uint64
	// leaving holds when an incarnation first stated in a response that it is about to stop. It is kept apart from the
	// entries, because neither an older record nor the removal of an entry revokes it.
	leaving map[fleet.Incarnation]model.Instant
	// lastReports holds the last report of each incarnation, also after its entry was removed.
	lastReports map[fleet.Incarnation]lastReport
	// failed holds when this VM last found an incarnation unreachable. It is kept apart from the entries, because a late
	// report may bring back an entry that was removed.
	failed map[fleet.Incarnation]model.Instant
	// paused holds until when an incarnation wants no requests from this VM.
	paused map[fleet.Incarnation]model.Instant
}

// New returns an empty registry. regions maps the zones of the deployment to their regions.
func New(regions map[model.Zone]model.Region) *Registry {
	return &Registry{
		regions: regions, entries: map[model.TargetID]*entry{},
		evacuated: map[model.Zone]bool{}, restoredAt: map[model.Zone]model.Instant{},
		lastReports: map[fleet.Incarnation]lastReport{},
		leaving:     map[fleet.Incarnation]model.Instant{}, paused: map[fleet.Incarnation]model.Instant{},
		failed: map[fleet.Incarnation]model.Instant{},
	}
}

// Version increases with each call that affects which targets may get requests, except RecordFailure. It does not
// increase when a cold start or zoneRestoreDelay ends.
func (r *Registry) Version() uint64 { return r.version }

// SetStoreAvailable records whether the store responded to the last read.
func (r *Registry) SetStoreAvailable(now model.Instant, available bool) {
	if available && r.outage {
		r.outageEndedAt = now
	}
	r.outage = !available
}

// Report records a registration. coldLeft is the remaining duration of the target's cold start; writtenAfter is an instant
// before which the registration was not written, or 0 if none is known. Report returns true if more changed than the time of
// the report, or the target stays cold for longer. It ignores outdated reports.
func (r *Registry) Report(now model.Instant, target fleet.Target, coldLeft time.Duration, writtenAfter model.Instant) bool {
	if r.IsOutdated(now, target) {
		return false
	}
	isReachable := r.endFailure(target.Incarnation(), writtenAfter)
	r.lastReports[target.Incarnation()] = lastReport{number: target.Report, at: now}
	target.Region = r.regions[target.Zone]
	if coldLeft > 0 {
		target.ColdUntil = now.Add(coldLeft)
	}
	known := r.entries[target.ID]
	if known == nil {
		known = &entry{target: target, sharedColdUntil: target.ColdUntil, readAt: now}
		known.setColdSince(now, fleet.Target{})
		r.entries[target.ID] = known
		r.byService = nil
		r.version++
		return true
	}
	if known.target.Incarnation() == target.Incarnation() && writtenAfter < known.checkedAt {
		// The report may be from before the cold start that the target has stated itself.
		target.ColdUntil = max(target.ColdUntil, known.target.ColdUntil)
	}
	changed := known.dropAt != 0 || isReachable || !sameTarget(known.target, target) ||
		target.ColdUntil > known.sharedColdUntil.Add(coldTolerance)
	if known.target.Service != target.Service {
		r.byService = nil
	}
	former := known.target
	known.target = target
	known.setColdSince(now, former)
	known.readAt = now
	known.dropAt = 0
	if changed {
		known.sharedColdUntil = target.ColdUntil
		r.version++
	}
	return changed
}

// endFailure ends the failure of an incarnation that has written a registration since, and reports whether it did. An earlier
// registration does not show that the process still runs.
func (r *Registry) endFailure(incarnation fleet.Incarnation, writtenAfter model.Instant) bool {
	failedAt, failed := r.failed[incarnation]
	if !failed || writtenAfter < failedAt {
		return false
	}
	delete(r.failed, incarnation)
	return true
}

// setColdSince records when a cold start became known, unless the former registration was in the same one.
func (e *entry) setColdSince(now model.Instant, former fleet.Target) {
	if e.target.ColdUntil <= now {
		return
	}
	if former.Incarnation() != e.target.Incarnation() || former.ColdUntil <= now {
		e.coldSince = now
	}
}

// IsOutdated reports whether a registration is from an earlier incarnation than the known one, or from an earlier report of
// the same incarnation.
func (r *Registry) IsOutdated(now model.Instant, target fleet.Target) bool {
	if known := r.entries[target.ID]; known != nil && target.StartedAtMillis < known.target.StartedAtMillis {
		return true
	}
	last, found := r.lastReports[target.Incarnation()]
	return found && target.Report < last.number && now.Sub(last.at) < lateReportLimit
}

func sameTarget(a, b fleet.Target) bool {
	cold := a.ColdUntil != 0 == (b.ColdUntil != 0)
	a.ColdUntil, b.ColdUntil = 0, 0
	a.Report, b.Report = 0, 0
	return a == b && cold
}

// Remove records that an entry was removed from the store. It returns true if the target is removed at once. During and
// right after an outage of the store the entry may have expired although the target is running, so it is kept for
// expiredEntryGrace.
func (r *Registry) Remove(now model.Instant, id model.TargetID) bool {
	known := r.entries[id]
	if known == nil {
		return false
	}
	if r.outage || r.outageEndedAt != 0 && now.Sub(r.outageEndedAt) < outageRemovalWindow {
		if known.dropAt == 0 {
			known.dropAt = max(now, r.outageEndedAt).Add(expiredEntryGrace)
		}
		return false
	}
	delete(r.entries, id)
	r.byService = nil
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

// Expire drops the expired entries whose grace period has passed and returns their IDs. During an outage of the store
// it drops none.
func (r *Registry) Expire(now model.Instant) []model.TargetID {
	r.dropOldMarks(now)
	var dropped []model.TargetID
	for id, e := range r.entries {
		if e.dropAt != 0 && now >= e.dropAt && !r.outage {
			delete(r.entries, id)
			r.byService = nil
			r.version++
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// MarkLeaving records that an incarnation stated in a response that it is about to stop. It gets no more requests; only a
// later incarnation with its ID does. MarkLeaving returns true if that was not known.
func (r *Registry) MarkLeaving(now model.Instant, incarnation fleet.Incarnation) bool {
	if _, known := r.leaving[incarnation]; known {
		return false
	}
	r.leaving[incarnation] = now
	r.version++
	return true
}

// MarkedLeaving returns the incarnations that stated that they are about to stop while the store still has them as ready,
// in no particular order.
func (r *Registry) MarkedLeaving() []fleet.Incarnation {
	var marked []fleet.Incarnation
	for incarnation := range r.leaving {
		if r.isListed(incarnation) && !r.entries[incarnation.ID].target.Draining {
			marked = append(marked, incarnation)
		}
	}
	return marked
}

// Pause records that an incarnation wants no requests from this VM until an instant. A shorter pause does not end a longer
// one.
func (r *Registry) Pause(now model.Instant, incarnation fleet.Incarnation, until model.Instant) {
	if until > max(now, r.paused[incarnation]) {
		r.paused[incarnation] = until
	}
}

// dropOldMarks bounds the memory for marks of incarnations.
func (r *Registry) dropOldMarks(now model.Instant) {
	for incarnation, until := range r.paused {
		if now >= until {
			delete(r.paused, incarnation)
		}
	}
	for incarnation, at := range r.leaving {
		if !r.isListed(incarnation) && now.Sub(at) >= leavingRetention {
			delete(r.leaving, incarnation)
		}
	}
	for incarnation, at := range r.failed {
		if !r.isListed(incarnation) && now.Sub(at) >= lateReportLimit {
			delete(r.failed, incarnation)
		}
	}
	for incarnation, last := range r.lastReports {
		if !r.isListed(incarnation) && now.Sub(last.at) >= lateReportLimit {
			delete(r.lastReports, incarnation)
		}
	}
}

func (r *Registry) isListed(incarnation fleet.Incarnation) bool {
	e := r.entries[incarnation.ID]
	return e != nil && e.target.Incarnation() == incarnation
}

// SetEvacuated sets whether a zone is to get no requests. It returns true if that changed.
func (r *Registry) SetEvacuated(now model.Instant, zone model.Zone, evacuated bool) bool {
	if r.evacuated[zone] == evacuated {
		return false
	}
	if evacuated {
		r.evacuated[zone] = true
	} else {
		delete(r.evacuated, zone)
		r.restoredAt[zone] = now
	}
	r.version++
	return true
}

// Evacuated reports whether a zone is to get no requests.
func (r *Registry) Evacuated(zone model.Zone) bool { return r.evacuated[zone] }

// EvacuatedZones returns the zones that get no requests, in no particular order.
func (r *Registry) EvacuatedZones() []model.Zone {
	zones := make([]model.Zone, 0, len(r.evacuated))
	for zone := range r.evacuated {
		zones = append(zones, zone)
	}
	return zones
}

// RecordFailure records that this VM could not reach an incarnation of a target. It gets no more requests from this VM until
// it has written another report, which shows that it has not restarted and become cold; a later incarnation gets requests at
// once.
func (r *Registry) RecordFailure(now model.Instant, incarnation fleet.Incarnation) {
	if r.isListed(incarnation) {
		r.failed[incarnation] = now
	}
}

// EndFailure records that an incarnation responded to a health check that began at an instant and, if it is cold, that RecordColdStart
// was called. It reports whether that ends a failure; it does not end a later one.
func (r *Registry) EndFailure(incarnation fleet.Incarnation, began model.Instant) bool {
	ended := r.endFailure(incarnation, began)
	if ended {
		r.version++
	}
	return ended
}

// RecordColdStart records that an incarnation stated to this VM that it is cold for another coldLeft. A registration from before
// that does not end the cold start.
func (r *Registry) RecordColdStart(now model.Instant, incarnation fleet.Incarnation, coldLeft time.Duration) {
	if !r.isListed(incarnation) {
		return
	}
	known := r.entries[incarnation.ID]
	former := known.target
	known.target.ColdUntil = max(known.target.ColdUntil, now.Add(coldLeft))
	known.setColdSince(now, former)
	known.checkedAt = now
	r.version++
}

// FailedTargets returns the IDs of the targets that could not be reached and have not reported since.
func (r *Registry) FailedTargets() []model.TargetID {
	var failed []model.TargetID
	for incarnation := range r.failed {
		if r.isListed(incarnation) {
			failed = append(failed, incarnation.ID)
		}
	}
	return failed
}

// Failed returns the targets that could not be reached and have not reported since, those that failed first at the front.
func (r *Registry) Failed() []fleet.Target {
	var failed []fleet.Target
	for incarnation := range r.failed {
		if r.isListed(incarnation) {
			failed = append(failed, r.entries[incarnation.ID].target)
		}
	}
	slices.SortFunc(failed, func(a, b fleet.Target) int {
		return cmp.Or(cmp.Compare(r.failed[a.Incarnation()], r.failed[b.Incarnation()]), cmp.Compare(a.ID, b.ID))
	})
	return failed
}

// State is the availability of a target for requests.
type State uint8

// States of targets.
const (
	// Serving targets get requests.
	Serving State = iota
	// Cold targets get requests at a low rate.
	Cold
	// Unavailable targets get no requests.
	Unavailable
	// Paused targets get no requests from this VM for some time, at their own wish. They keep their keys.
	Paused
)

func (r *Registry) state(now model.Instant, e *entry) State {
	switch {
	case r.isLeaving(e):
		return Unavailable
	case r.hasFailed(e):
		return Unavailable
	case r.restoredAt[e.target.Zone] != 0 && now.Sub(r.restoredAt[e.target.Zone]) < zoneRestoreDelay:
		return Unavailable
	case now < r.paused[e.target.Incarnation()]:
		return Paused
	case now < e.target.ColdUntil:
		return Cold
	}
	return Serving
}

// Entry is a registered target and its state.
type Entry struct {
	Target fleet.Target
	State  State
	// Leaving is true if the target is draining or about to stop, or its zone is evacuated.
	Leaving bool
	// PauseLeft is how long a paused target gets no requests; 0 for other targets.
	PauseLeft time.Duration
	// Age is the time since the last report was read.
	Age time.Duration
	// ColdFor is the time since this VM learned of the target's current cold start; 0 if the target is not cold.
	ColdFor time.Duration
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
	entry := Entry{Target: e.target, State: r.state(now, e), Age: now.Sub(e.readAt), Leaving: r.isLeaving(e)}
	if now < e.target.ColdUntil {
		entry.ColdFor = now.Sub(e.coldSince)
	}
	if entry.State == Paused {
		entry.PauseLeft = r.paused[e.target.Incarnation()].Sub(now)
	}
	return entry
}

func (r *Registry) hasFailed(e *entry) bool {
	_, failed := r.failed[e.target.Incarnation()]
	return failed
}

func (r *Registry) isLeaving(e *entry) bool {
	_, marked := r.leaving[e.target.Incarnation()]
	return marked || e.target.Draining || r.evacuated[e.target.Zone]
}

// Service returns the targets of a service in order of their IDs.
func (r *Registry) Service(now model.Instant, service model.Service) []Entry {
	if r.byService == nil {
		r.groupByService()
	}
	entries := r.byService[service]
	list := make([]Entry, len(entries))
	for i, e := range entries {
		list[i] = r.entry(now, e)
	}
	return list
}

func (r *Registry) groupByService() {
	r.byService = map[model.Service][]*entry{}
	for _, e := range r.entries {
		r.byService[e.target.Service] = append(r.byService[e.target.Service], e)
	}
	for _, list := range r.byService {
		sort.Slice(list, func(i, j int) bool { return list[i].target.ID < list[j].target.ID })
	}
}

// Len returns the number of registered targets.
func (r *Registry) Len() int { return len(r.entries) }
