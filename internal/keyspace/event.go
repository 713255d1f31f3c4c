package keyspace

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Candidate is a registered target of a keyed service as the leader sees it.
type Candidate struct {
	Holder
	Service model.Service
	// Usable targets may hold keys: they are ready, warm and in a zone that is in service.
	Usable bool
	// Weight is the target's capacity relative to others.
	Weight float64
}

// View is what the leader knows of the deployment.
type View struct {
	// Services are the keyed services of the configuration.
	Services   []model.Service
	Candidates []Candidate
}

// Command is an order of the state machine to its host.
type Command struct {
	Kind CommandKind
	// Append holds the table to write and the condition under which it is written.
	Append *Table
	AsOf   uint64
	// Service, Target, From, To and Fence belong to grants and releases.
	Service  model.Service
	Target   Holder
	From, To int
	Fence    uint64
	Handover string
	// Connection is the connection over which the target was granted the range under this fence; 0 if it was not. The
	// renewal must go over it, because a new life of the target may get the range only under a higher fence.
	Connection uint64

	// record is the fence of the range in the table, below which Fence never is.
	record uint64
}

// CommandKind tells commands apart.
type CommandKind uint8

// Kinds of commands.
const (
	AppendTable CommandKind = iota
	GrantKeys
	ReleaseKeys
)

// String returns the kind's name for logs.
func (k CommandKind) String() string {
	return [...]string{"append", "grant", "release"}[k]
}

// Outcome is the result of a grant or release.
type Outcome uint8

// Outcomes of orders.
const (
	// Done means that the target carried out the order.
	Done Outcome = iota
	// Fenced means that the target has seen a higher fence.
	Fenced
	// Refused means that the target, or another process at its address, answered otherwise.
	Refused
	// NotSent means that the order never left this process.
	NotSent
	// Unresponsive means that no answer came, so that the order may have been carried out or may still be.
	Unresponsive
	// Replaced means that another target answered at the address, so that the one asked for has ended.
	Replaced
	// Disconnected means that a renewal was not sent, as its connection is not open any more.
	Disconnected
)

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	return [...]string{"done", "fenced", "refused", "not-sent", "silent", "replaced", "disconnected"}[o]
}

// Settings hold the times of the state machine.
type Settings struct {
	// Hold is the time for which a grant is given. It bounds how long the keys of a silently lost target are unserved.
	Hold time.Duration
	// RenewEvery is the time between two renewals of a grant.
	RenewEvery time.Duration
	// RetryEvery is the time after which a failed order is sent again.
	RetryEvery time.Duration
	// LeadershipTimeout is how long a leader may renew grants after it last saw in the store that it is the leader.
	LeadershipTimeout time.Duration
	// MaxTableAge is how long after this leader last saw its table as the newest in the store it may grant keys over a new
	// connection. It is shorter than the restart of a target, so that no other leader has granted the same keys to a
	// former life of the target under a higher fence.
	MaxTableAge time.Duration
	// CommandTimeout bounds a grant, after which its connection is reset.
	CommandTimeout time.Duration
	// ClockDriftFactor is by how much a target's clock may run slow, as a factor.
	ClockDriftFactor float64
	// UnresponsiveCooldown is how long a target that did not answer gets no new keys, unless it answers a release.
	UnresponsiveCooldown time.Duration
	// Margin covers the delivery of an order and the granularity of timers.
	Margin time.Duration
	// MaxConcurrentMoves bounds the ranges of a service that are moved at one time to balance load.
	MaxConcurrentMoves int
	// MaxRanges bounds the ranges that one target holds, each of which is renewed on its own.
	MaxRanges int
	// Imbalance is the load of a target, relative to the mean, from which ranges are moved away.
	Imbalance float64
	// RebalanceEvery is the time between two searches for ranges to move.
	RebalanceEvery time.Duration
}

// DefaultSettings suit a store whose group members lapse after about a second and links of up to 25 ms round trip.
func DefaultSettings() Settings {
	return Settings{
		Hold:                 3200 * time.Millisecond,
		RenewEvery:           800 * time.Millisecond,
		RetryEvery:           250 * time.Millisecond,
		LeadershipTimeout:    9 * time.Second,
		MaxTableAge:          2500 * time.Millisecond,
		CommandTimeout:       500 * time.Millisecond,
		ClockDriftFactor:     1.02,
		UnresponsiveCooldown: 15 * time.Second,
		Margin:               200 * time.Millisecond,
		MaxConcurrentMoves:   6,
		MaxRanges:            8,
		Imbalance:            1.3,
		RebalanceEvery:       500 * time.Millisecond,
	}
}

// holdBound is the longest time for which a grant can last at its target after the call ended.
func (s Settings) holdBound() time.Duration {
	return time.Duration(float64(s.Hold)*s.ClockDriftFactor) + s.Margin
}

// contactBound is the longest time after the replacement of a leader in which a grant of it can reach a target.
func (s Settings) contactBound() time.Duration {
	return s.LeadershipTimeout + s.CommandTimeout + s.Margin
}

// lifetimes maps the ID of each registered target to its present life.
type lifetimes map[model.TargetID]fleet.Incarnation
