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

// verifiedConnections holds up to which connection the process behind a target's address is known. A connection stays with its
// process, so one that was opened before the target's state was learned needs no other check.
type verifiedConnections struct {
	mu sync.Mutex
	// confirmedAt is when this VM last had all registrations, confirmed the ID of the last connection opened until then.
	confirmedAt model.Instant
	confirmed   uint64
	// checked holds the ID of the last connection opened before each target's last health check since confirmedAt.
	checked map[fleet.Incarnation]uint64
}

func newVerifiedConnections() *verifiedConnections {
	return &verifiedConnections{checked: map[fleet.Incarnation]uint64{}}
}

// confirmAll records that at an instant this VM had all registrations, and that last was the last connection opened.
func (v *verifiedConnections) confirmAll(at model.Instant, last uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at > v.confirmedAt {
		v.confirmedAt, v.confirmed = at, last
		clear(v.checked)
	}
}

// confirm records that a health check was passed that began when last was the last connection opened.
func (v *verifiedConnections) confirm(incarnation fleet.Incarnation, last uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.checked[incarnation] = max(last, v.checked[incarnation])
}

// includes reports whether requests may be sent over a connection to a target without a health check.
func (v *verifiedConnections) includes(now model.Instant, incarnation fleet.Incarnation, connection uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.confirmedAt) < unconfirmedAge || connection <= max(v.confirmed, v.checked[incarnation])
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
// the connection, within the limit for cold targets. Concurrent calls for one address share a check.
func (g *gateway) verify(ctx context.Context, path string, target *fleet.Target, connection uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	unlock := g.healthChecks.lock(ctx, target.Address)
	if unlock == nil {
		return false
	}
	defer unlock()
	incarnation := target.Incarnation()
	now := g.clock.Now()
	if g.verified.includes(now, incarnation, connection) {
		return true
	}
	if entry, found := g.state.lookup(now, target.ID); !found || entry.State != registry.Serving {
		// Another request's check has just found that out.
		return false
	}
	last := g.targets.Pool().LastConnectionID()
	health, err := g.targets.Health(ctx, target.Address, path)
	state := classifyHealth(target.ID, health, err)
	g.recordHealth(incarnation, target.Address, state, health)
	if state != healthWarm && state != healthCold {
		return false
	}
	g.verified.confirm(incarnation, last)
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
