package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/registry"
	"github.com/tarragonpoint/tarragonpoint/internal/upstream"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

const (
	// unconfirmedAge is the age of this VM's registrations from which a new connection to a target is verified: the target may
	// have restarted, and its registration is not known. It exceeds the time between two reads while the store or the leader
	// responds, so that no health checks are made then.
	unconfirmedAge = topicRelistAge
	// healthTimeout bounds a health check. A target responds at once, or once it has a free slot.
	healthTimeout = 500 * time.Millisecond
	// healthRetryDelay is how long a target gets no requests from this VM after a health check that it did not pass, or did
	// not respond to; fullRetryDelay is the same after one that it had no room for, which it has again soon.
	healthRetryDelay = 500 * time.Millisecond
	fullRetryDelay   = 100 * time.Millisecond
	// maxVerifications bounds the health checks for one attempt. Other requests may use the connections that a check has
	// verified.
	maxVerifications = 2
)

// verifiedConnections holds until when the process behind a target's address is known. A connection stays with its process, so one
// that was opened before the target's state was read needs no other check.
type verifiedConnections struct {
	mu sync.Mutex
	// confirmedAt is an instant whose registrations this VM has all.
	confirmedAt model.Instant
	// checked holds when each target's last health check since confirmedAt began that it passed.
	checked map[fleet.Incarnation]model.Instant
}

func newVerifiedConnections() *verifiedConnections {
	return &verifiedConnections{checked: map[fleet.Incarnation]model.Instant{}}
}

// confirmAll records that this VM has all registrations of an instant, which it may have received later.
func (v *verifiedConnections) confirmAll(at model.Instant) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at > v.confirmedAt {
		v.confirmedAt = at
		clear(v.checked)
	}
}

// confirm records that a target passed a health check that began at an instant.
func (v *verifiedConnections) confirm(incarnation fleet.Incarnation, began model.Instant) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.checked[incarnation] = max(began, v.checked[incarnation])
}

// includes reports whether requests may be sent to a target without a health check over a connection that was open at an instant.
func (v *verifiedConnections) includes(now model.Instant, incarnation fleet.Incarnation, openedAt model.Instant) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isCurrentLocked(now) || openedAt <= max(v.confirmedAt, v.checked[incarnation])
}

// isCurrent reports whether this VM's registrations are up to date.
func (v *verifiedConnections) isCurrent(now model.Instant) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isCurrentLocked(now)
}

// isCurrentLocked is isCurrent for callers that hold the mutex.
func (v *verifiedConnections) isCurrentLocked(now model.Instant) bool {
	return now.Sub(v.confirmedAt) < unconfirmedAge
}

// targetHealth is the result of a health check.
type targetHealth uint8

const (
	// healthWarm and healthCold are those of the registered target while it serves.
	healthWarm targetHealth = iota
	healthCold
	// healthNotServing means that the target is not healthy, or leaving, or has not responded.
	healthNotServing
	// healthFull means that the target had no room for the check.
	healthFull
	// healthReplaced means that another target has the address.
	healthReplaced
	// healthUnreachable means that no connection could be opened.
	healthUnreachable
)

func (h targetHealth) String() string {
	return [...]string{"warm", "cold", "not serving", "full", "replaced", "unreachable"}[h]
}

// classifyHealth returns what a health check tells about a target.
func classifyHealth(target model.TargetID, health platform.Health, err error) targetHealth {
	switch {
	case err != nil && errorx.IsOfType(err, upstream.ErrNotSent):
		return healthUnreachable
	case err != nil:
		return healthNotServing
	case health.Target != "" && health.Target != target:
		return healthReplaced
	case health.Rejected:
		return healthFull
	case !health.Serving || health.Target == "":
		return healthNotServing
	case health.ColdLeft > 0:
		return healthCold
	}
	return healthWarm
}

// verify asks a target for its health and records the result in the registry. It returns true if a request may be sent over
// a connection that was open at openedAt, within the limit for cold targets. Concurrent calls for one address share a check.
func (g *gateway) verify(ctx context.Context, path string, target *fleet.Target, openedAt model.Instant) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	unlock := g.healthChecks.lock(ctx, target.Address)
	if unlock == nil {
		return false
	}
	defer unlock()
	incarnation := target.Incarnation()
	now := g.clock.Now()
	if g.verified.includes(now, incarnation, openedAt) {
		return true
	}
	if entry, found := g.state.lookup(now, target.ID); !found || entry.State != registry.Serving {
		// Another request's check has just found that out.
		return false
	}
	began := g.clock.Now()
	health, err := g.targets.Health(ctx, target.Address, path)
	state := classifyHealth(target.ID, health, err)
	g.recordHealth(incarnation, target.Address, state, health)
	if state != healthWarm && state != healthCold {
		return false
	}
	g.verified.confirm(incarnation, began)
	return true
}

// recordHealth records the result of a health check.
func (g *gateway) recordHealth(incarnation fleet.Incarnation, address string, state targetHealth, health platform.Health) {
	now := g.clock.Now()
	g.metrics.healthCheck(state.String())
	g.state.withRegistry(func(r *registry.Registry) {
		switch state {
		case healthCold:
			r.RecordColdStart(now, incarnation, health.ColdLeft)
		case healthNotServing:
			r.Pause(now, incarnation, now.Add(healthRetryDelay))
		case healthFull:
			r.Pause(now, incarnation, now.Add(fullRetryDelay))
		case healthReplaced, healthUnreachable:
			r.RecordFailure(now, incarnation)
		}
	})
	if state == healthReplaced {
		g.targets.Pool().CloseIdle(address)
	}
	log := g.log.Part(logging.Registry)
	if health.Malformed != "" {
		log.Event("invalid value in a health check ignored", logging.TargetID(incarnation.ID), logging.Name(health.Malformed))
	}
	if state == healthWarm {
		log.Debug("target checked", logging.TargetID(incarnation.ID), logging.State(state.String()))
		return
	}
	log.Event("target checked", logging.TargetID(incarnation.ID), logging.Address(address), logging.State(state.String()),
		logging.ColdStart(0, health.ColdLeft))
}
