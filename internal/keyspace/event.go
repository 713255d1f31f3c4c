package keyspace

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Candidate is a registered target of a keyed service that the leader may assign keys to.
type Candidate struct {
	Holder
	Service model.Service
	// Usable targets may hold keys: they are ready, warm and in a zone that is in service.
	Usable bool
	// Weight is the target's capacity relative to others.
	Weight float64
	// Region is the target's region. Messages from one VM to the targets of a region share a path.
	Region model.Region
}

// View is the leader's view of the deployment.
type View struct {
	// Services are the keyed services of the configuration.
	Services   []model.Service
	Candidates []Candidate
}

// Command is an action that the state machine requests from its caller.
type Command struct {
	Kind CommandKind
	// Append is the table to write. It is written only if the topic still ends at the offset AsOf.
	Append *Table
	AsOf   uint64
	// Service, Target, From, To and Fence are set for grants and releases.
	Service  model.Service
	Target   Holder
	From, To int
	Fence    uint64
	// Handover is the data that the previous owner returned with its release, for the grant to the new owner.
	Handover string
	// ConnectionID identifies the connection over which the target was granted the range under this fence; 0 if it was
	// not. A renewal must use the same connection, because a new incarnation of the target may get the range only under
	// a higher fence.
	ConnectionID uint64
	// ConnectedBefore is an instant before which the connection of a grant must have been opened: the table was the newest then, so no
	// other leader has granted or released keys at an earlier process of the target. It binds grants without a ConnectionID;
	// any other connection is kept and the outcome is Unconfirmed.
	ConnectedBefore model.Instant

	// Unreleased lists the previous holders that did not release the range before this grant. Renewals have none.
	Unreleased []UnreleasedHolder

	// recordFence is the fence of the range in the table. Fence is never below it.
	recordFence uint64
	// issuedAt is when the state machine requested the command, which is sent no earlier.
	issuedAt model.Instant
}

// UnreleasedHolder states why a previous holder of a range can no longer hold it, although it did not release it.
type UnreleasedHolder struct {
	Target model.TargetID
	// Terminated is true if another target responded at its address. Otherwise its hold ended.
	Terminated bool
	// HoldEnded is how long ago its last hold ended; 0 if this process counted no grant to it.
	HoldEnded time.Duration
	// LastGrant is the outcome of the last grant that this process sent to it, and LastGrantAge the time since then. They are
	// set only if Granted is true.
	Granted      bool
	LastGrant    Outcome
	LastGrantAge time.Duration
}

// CommandKind is the type of a command.
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

// Outcomes of commands.
const (
	// Done means that the target executed the command.
	Done Outcome = iota
	// Fenced means that the target rejected the command because it has seen a higher fence.
	Fenced
	// Rejected means that the target, or another process at its address, responded with any other status.
	Rejected
	// NotSent means that the command never left this process.
	NotSent
	// Unresponsive means that no response arrived: the command may have been executed or may still be executed later.
	Unresponsive
	// Replaced means that another target provably responded at the address, so the addressed target has terminated.
	Replaced
	// Disconnected means that a renewal was not sent because its connection is no longer open.
	Disconnected
	// ConnectionRefused means that the command never left this process because the target's host refused the connection.
	ConnectionRefused
	// Unconfirmed means that a grant was not sent because the connection to its target was opened after ConnectedBefore.
	Unconfirmed
)

// mayHaveTakenEffect reports whether a command with this outcome may have been executed, or may be executed later. That holds
// for every command that was sent, unless its target has terminated: a rejection may be a copy of the response to an earlier
// command, or come from a process in between.
func (o Outcome) mayHaveTakenEffect() bool {
	return o != NotSent && o != Disconnected && o != ConnectionRefused && o != Unconfirmed && o != Replaced
}

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	return [...]string{"done", "fenced", "refused", "not-sent", "silent", "replaced", "disconnected", "connection-refused", "unconfirmed"}[o]
}

// provesDelivery reports whether the outcome shows that the target's host got what was sent to it. Any other response may come
// from a process in between, or from another target.
func (o Outcome) provesDelivery() bool { return o == Done || o == Fenced || o == ConnectionRefused }

// AppendFailure is the reason why a write of the table was not confirmed.
type AppendFailure uint8

// Reasons why a write of the table was not confirmed.
const (
	// AppendUnanswered means that no response arrived: the write may have been executed or may still be executed later.
	AppendUnanswered AppendFailure = iota
	// AppendNotExecuted means that this attempt was not executed and never will be.
	AppendNotExecuted
	// AppendConflict means that the topic no longer ends at the offset of the write: an earlier attempt or another VM has
	// written a record there.
	AppendConflict
)

// Settings holds the durations, limits and thresholds of the state machine.
type Settings struct {
	// Hold is the validity of a grant. It bounds how long the keys of a target that fails without notice are unserved.
	Hold time.Duration
	// RenewEvery is the interval between two renewals of a grant.
	RenewEvery time.Duration
	// RetryEvery is the delay before a failed command is sent again.
	RetryEvery time.Duration
	// LeadershipTimeout is how long a leader may renew grants after it last confirmed in the store that it is the leader.
	LeadershipTimeout time.Duration
	// CommandTimeout is the timeout of a grant. When it passes, the connection of the grant is reset.
	CommandTimeout time.Duration
	// ClockDriftFactor is the largest factor by which a target's clock may run slow.
	ClockDriftFactor float64
	// UnresponsiveCooldown is how long an unresponsive target gets no new keys, unless it responds to a release.
	UnresponsiveCooldown time.Duration
	// UnresponsiveRetry is the time between two grants to an unresponsive target that keeps its keys, because its service has no target
	// that could get them.
	UnresponsiveRetry time.Duration
	// Margin covers the usual delivery time of a command and the granularity of timers.
	Margin time.Duration
	// MaxDelivery is how long a grant that got no response may be on its way, as on a saturated link, unless a target in the
	// region of its target responds to a later command. It is shorter than LeadershipTimeout plus CommandTimeout, for which
	// a leader waits that replaces one that has not resigned, so that two changes of leaders in a row do not shorten it.
	MaxDelivery time.Duration
	// MaxConcurrentMoves bounds the ranges of a service that are being moved at the same time to balance load, unless
	// MovingShare allows more.
	MaxConcurrentMoves int
	// MovingShare is the number of ranges of a service that may be moved at the same time, as a share of its targets. A hot
	// spot has to be divided among a share of the targets, whatever their number.
	MovingShare float64
	// MaxRanges bounds the ranges that one target holds, each of which needs its own renewals.
	MaxRanges int
	// Imbalance is the load of a target relative to the mean above which ranges are moved away from it.
	Imbalance float64
	// WriteIntervalPerRange is the shortest time between two writes of the table, for each of its ranges. Every VM gets every
	// table, so the time grows with the table's size to bound the bytes per second that the leader sends.
	WriteIntervalPerRange time.Duration
	// MaxFirstGrants bounds the grants over new connections that were issued within FirstGrantWindow and have no response
	// yet. The others wait here, where no CommandTimeout runs: on a VM with 0.12 of a core, 1,000 commands at once take
	// longer than that.
	MaxFirstGrants int
	// FirstGrantWindow is how long an unanswered grant counts towards MaxFirstGrants: several round trips between regions.
	// Silent targets delay the grants to others no longer.
	FirstGrantWindow time.Duration
	// RebalanceEvery is the interval between two searches for ranges to merge or move.
	RebalanceEvery time.Duration
}

// DefaultSettings returns settings for a store whose group memberships expire after about a second, and for links with
// a round trip of up to 25 ms.
func DefaultSettings() Settings {
	return Settings{
		Hold:                 3200 * time.Millisecond,
		RenewEvery:           800 * time.Millisecond,
		RetryEvery:           250 * time.Millisecond,
		LeadershipTimeout:    9 * time.Second,
		CommandTimeout:       500 * time.Millisecond,
		ClockDriftFactor:     1.02,
		UnresponsiveCooldown: 15 * time.Second,
		UnresponsiveRetry:    time.Second,
		Margin:               200 * time.Millisecond,
		MaxDelivery:          9 * time.Second,
		MaxConcurrentMoves:   6,
		MovingShare:          1.0 / 6,
		MaxRanges:            8,
		Imbalance:            1.3,
		RebalanceEvery:       500 * time.Millisecond,
		MaxFirstGrants:       256,
		FirstGrantWindow:     100 * time.Millisecond,

		WriteIntervalPerRange: 400 * time.Microsecond,
	}
}

// holdBound returns the longest time that a grant can remain valid at its target after the call ended.
func (s Settings) holdBound() time.Duration {
	return time.Duration(float64(s.Hold)*s.ClockDriftFactor) + s.Margin
}

// contactBound returns for how long after the replacement of a leader its grants can still reach a target.
func (s Settings) contactBound() time.Duration {
	return s.LeadershipTimeout + s.CommandTimeout + s.Margin
}

// incarnationsByID maps the ID of each registered target to its current incarnation.
type incarnationsByID map[model.TargetID]fleet.Incarnation
