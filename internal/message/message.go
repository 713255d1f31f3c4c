// Package message defines the typed messages between entry VMs. They are encoded as CBOR and sent over authenticated
// WebSocket connections.
package message

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// Message is one message between entry VMs. Exactly one of its fields is set.
type Message struct {
	Heartbeat     *Heartbeat     `cbor:"1,keyasint,omitempty"`
	StatusUpdate  *StatusUpdate  `cbor:"2,keyasint,omitempty"`
	StopQuery     *StopQuery     `cbor:"3,keyasint,omitempty"`
	StopStatement *StopStatement `cbor:"4,keyasint,omitempty"`
	FetchRecords  *FetchRecords  `cbor:"5,keyasint,omitempty"`
	Records       *Records       `cbor:"6,keyasint,omitempty"`
	Forward       *Forward       `cbor:"7,keyasint,omitempty"`
	ForwardReply  *ForwardReply  `cbor:"8,keyasint,omitempty"`
	Strike        *Strike        `cbor:"9,keyasint,omitempty"`
	Handover      *Handover      `cbor:"10,keyasint,omitempty"`
	CloseID       *CloseID       `cbor:"11,keyasint,omitempty"`
	CancelForward *CancelForward `cbor:"12,keyasint,omitempty"`
	HotKeys       *HotKeys       `cbor:"13,keyasint,omitempty"`
	MoveRequest   *MoveRequest   `cbor:"14,keyasint,omitempty"`
	StopRelease   *StopRelease   `cbor:"15,keyasint,omitempty"`

	SyncQuery        *SyncQuery        `cbor:"16,keyasint,omitempty"`
	SyncReply        *SyncReply        `cbor:"17,keyasint,omitempty"`
	OverridePrepare  *OverridePrepare  `cbor:"18,keyasint,omitempty"`
	OverrideAccept   *OverrideAccept   `cbor:"19,keyasint,omitempty"`
	OverrideQuery    *OverrideQuery    `cbor:"20,keyasint,omitempty"`
	OverrideDecision *OverrideDecision `cbor:"21,keyasint,omitempty"`
}

// Heartbeat reports that a process is alive and up to which offsets it has folded the streams.
type Heartbeat struct {
	Incarnation  model.Incarnation `cbor:"1,keyasint"`
	ConfigOffset model.Offset      `cbor:"2,keyasint"`
	AssignOffset model.Offset      `cbor:"3,keyasint"`
	// Leaving is true during a planned stop.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Zone is the sender's zone. Receivers derive the sender's region from it if the sender is not a member of a cell.
	Zone model.Zone `cbor:"5,keyasint,omitempty"`
	// Address is deprecated and no longer sent, because peers take the address from the log and the VM list. Heartbeats
	// of older versions carry it.
	Address string `cbor:"6,keyasint,omitempty"`
	// Synced lists the cells in which the sender may act as a lessor.
	Synced []model.Zone `cbor:"7,keyasint,omitempty"`
}

// StatusUpdate carries changed target statuses from the lessor of the targets.
type StatusUpdate struct {
	Statuses []TargetStatus `cbor:"1,keyasint"`
	// Overrides are the committed overrides that assign slots to targets for which the sender acts as the lessor.
	Overrides []Override `cbor:"2,keyasint,omitempty"`
}

// TargetStatus is the status of one target.
type TargetStatus struct {
	Target model.TargetID `cbor:"1,keyasint"`
	Status route.Status   `cbor:"2,keyasint"`
}

// StopQuery asks a member of the cell to state that it renews no lease of the target at the cell epoch.
type StopQuery struct {
	Cell      model.Zone     `cbor:"1,keyasint"`
	CellEpoch model.Offset   `cbor:"2,keyasint"`
	Target    model.TargetID `cbor:"3,keyasint"`
	// Sequence identifies the takeover for which the sender needs the statement.
	Sequence uint64 `cbor:"4,keyasint"`
}

// StopStatement is the reply to a StopQuery. Its sender renews no lease of the target until the cell's epoch changes,
// the target's slots have new owners, or the sender of the query releases it by a StopRelease.
type StopStatement struct {
	Cell      model.Zone     `cbor:"1,keyasint"`
	CellEpoch model.Offset   `cbor:"2,keyasint"`
	Target    model.TargetID `cbor:"3,keyasint"`
	// Stopped is false if the sender holds the lease and the target responds to it, or if the sender's cell epoch
	// differs.
	Stopped bool `cbor:"4,keyasint"`
	// Remaining is an upper bound on the time for which a lease renewed by the sender is still valid.
	Remaining time.Duration `cbor:"5,keyasint"`
	// Sequence is copied from the query.
	Sequence uint64 `cbor:"6,keyasint"`
}

// StopRelease releases the receiver from the statement that it made in reply to a StopQuery.
type StopRelease struct {
	Target   model.TargetID `cbor:"1,keyasint"`
	Sequence uint64         `cbor:"2,keyasint"`
	// AssignOffset is the assignment offset that the sender has folded. The release takes effect once the receiver has
	// folded that offset too, because a record of the takeover may have moved some of the target's slots.
	AssignOffset model.Offset `cbor:"3,keyasint"`
}

// FetchRecords requests the records of a stream from a peer, starting at offset From.
type FetchRecords struct {
	Stream record.Stream `cbor:"1,keyasint"`
	From   model.Offset  `cbor:"2,keyasint"`
}

// Records is the reply to FetchRecords. If the requested records have expired, Snapshot covers everything before
// Entries.
type Records struct {
	Stream   record.Stream    `cbor:"1,keyasint"`
	Snapshot *record.Snapshot `cbor:"2,keyasint,omitempty"`
	Entries  []record.Entry   `cbor:"3,keyasint"`
}

// Forward sends a request to the lessor of its target.
type Forward struct {
	// Attempt identifies this attempt across the deployment.
	Attempt string        `cbor:"1,keyasint"`
	Tenant  model.Tenant  `cbor:"2,keyasint"`
	Service model.Service `cbor:"3,keyasint"`
	// Target is the target that the sender resolved. The lessor rejects the request if it resolves a different one.
	Target    model.TargetID   `cbor:"4,keyasint"`
	Slot      *model.Slot      `cbor:"5,keyasint,omitempty"`
	KeyHash   uint64           `cbor:"6,keyasint,omitempty"`
	Fence     model.Fence      `cbor:"7,keyasint,omitempty"`
	RequestID *model.RequestID `cbor:"8,keyasint,omitempty"`
	// Idempotent is false for a request that must run at most once; RequestID is set for such requests.
	Idempotent bool `cbor:"9,keyasint"`
	// ReceivedMillis is the time at which the entry VM received the request, on its wall clock, in ms since 1970.
	ReceivedMillis int64               `cbor:"10,keyasint"`
	Method         string              `cbor:"11,keyasint"`
	Path           string              `cbor:"12,keyasint"`
	Header         map[string][]string `cbor:"13,keyasint"`
	Body           []byte              `cbor:"14,keyasint"`
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration `cbor:"15,keyasint"`
}

// ForwardReply is the reply to a Forward or a CloseID.
type ForwardReply struct {
	Attempt string              `cbor:"1,keyasint"`
	Code    result.Code         `cbor:"2,keyasint"`
	Outcome result.Outcome      `cbor:"3,keyasint"`
	Status  int                 `cbor:"4,keyasint"`
	Header  map[string][]string `cbor:"5,keyasint"`
	Body    []byte              `cbor:"6,keyasint"`
	Target  model.TargetID      `cbor:"7,keyasint,omitempty"`
	Fence   model.Fence         `cbor:"8,keyasint,omitempty"`
}

// CancelForward cancels a forwarded request whose caller disconnected. A non-idempotent request is not canceled once it
// has been sent to the target.
type CancelForward struct {
	Attempt string `cbor:"1,keyasint"`
}

// CloseID queries the lessor for the outcome of a request ID that the sender is about to reject. If the request has not
// run, the lessor marks the ID as closed: attempts received up to dedup.NotRunValidity + dedup.ClockMargin after the
// query is handled, and at least those received up to ReceivedMillis, do not run. It does not mark an ID that is so far
// ahead of the clock that all lessors refuse it for dedup.NotRunValidity anyway.
type CloseID struct {
	Attempt   string          `cbor:"1,keyasint"`
	Slot      model.Slot      `cbor:"2,keyasint"`
	RequestID model.RequestID `cbor:"3,keyasint"`
	// ReceivedMillis is the time at which the sender received its attempt, on its wall clock, in ms since 1970.
	ReceivedMillis int64 `cbor:"4,keyasint"`
	// KeyHash lets the lessor detect that the key has been split into a slot of its own.
	KeyHash uint64 `cbor:"5,keyasint,omitempty"`
}

// Strike reports that a request crashed a target. It is sent only to peers in the same region.
type Strike struct {
	Fingerprint uint64         `cbor:"1,keyasint"`
	Target      model.TargetID `cbor:"2,keyasint"`
}

// DedupEntry is one entry of the at-most-once table.
type DedupEntry struct {
	RequestID model.RequestID `cbor:"1,keyasint"`
	// Reply is nil if the ID was closed as not run, or if the request was sent to the target and its outcome is unknown.
	Reply *ForwardReply `cbor:"2,keyasint,omitempty"`
	// ClosedMillis is set if the ID was closed as not run; attempts received up to this time, in ms since 1970, are
	// refused.
	ClosedMillis int64 `cbor:"3,keyasint,omitempty"`
}

// Handover transfers the at-most-once table of slots to the next entry VM that sends requests for them. HorizonMillis
// is the latest creation time of a request ID, in ms since 1970, that is refused, because Entries may lack such an ID
// although an earlier sender ran or closed it. Entries covers all later IDs; with 0 it covers all IDs.
type Handover struct {
	Slots         []model.Slot `cbor:"1,keyasint"`
	HorizonMillis int64        `cbor:"2,keyasint"`
	Entries       []DedupEntry `cbor:"3,keyasint"`
	// Term and Fence are those under which the previous sender held the slots. The next sender uses the table only if
	// they show that no other VM sent requests for the slots in between.
	Term  model.Term  `cbor:"4,keyasint"`
	Fence model.Fence `cbor:"5,keyasint"`
}

// HotKey is a key with its request rate, in requests per second.
type HotKey struct {
	Slot    model.Slot `cbor:"1,keyasint"`
	KeyHash uint64     `cbor:"2,keyasint"`
	Rate    float64    `cbor:"3,keyasint"`
}

// HotKeys reports the hottest keys of one entry VM to the planner.
type HotKeys struct {
	Keys []HotKey `cbor:"1,keyasint"`
	// Totals are the rates of all keyed requests of tenants without home regions, by service.
	Totals []ServiceRate `cbor:"2,keyasint,omitempty"`
}

// ServiceRate is the rate of a service's requests at one entry VM, in requests per second.
type ServiceRate struct {
	Service model.Service `cbor:"1,keyasint"`
	Rate    float64       `cbor:"2,keyasint"`
}

// MoveRequest asks the lessor of the slots' owners to move the slots. The lessor decides when the move is safe.
type MoveRequest struct {
	Moves []record.Move `cbor:"1,keyasint"`
}

// SyncQuery queries a member of a cell for the overrides that it has stored. The sender joined the cell at the given
// epoch and acts as a lessor only after all members have replied.
type SyncQuery struct {
	Cell      model.Zone   `cbor:"1,keyasint"`
	CellEpoch model.Offset `cbor:"2,keyasint"`
}

// SyncReply is the reply to a SyncQuery.
type SyncReply struct {
	Cell      model.Zone   `cbor:"1,keyasint"`
	CellEpoch model.Offset `cbor:"2,keyasint"`
	Overrides []Override   `cbor:"3,keyasint"`
	// Synced is true if the sender may act as a lessor in the cell.
	Synced bool `cbor:"4,keyasint"`
}

// OverrideID identifies a proposal to override the owners of slots while the log is down.
type OverrideID struct {
	Proposer model.VMID `cbor:"1,keyasint"`
	Sequence uint64     `cbor:"2,keyasint"`
}

// Override assigns a slot to a different owner than the log does. It applies as long as the slot's epoch in the log is
// Base.
type Override struct {
	ID   OverrideID     `cbor:"1,keyasint"`
	Slot model.Slot     `cbor:"2,keyasint"`
	Base model.Offset   `cbor:"3,keyasint"`
	To   model.TargetID `cbor:"4,keyasint"`
	// Committed is true once all members of the cell have accepted the override. Until then no member may grant the
	// slot.
	Committed bool `cbor:"5,keyasint"`
}

// OverridePrepare asks a member to accept overrides. From is the target from which the slots are taken.
type OverridePrepare struct {
	ID        OverrideID     `cbor:"1,keyasint"`
	Cell      model.Zone     `cbor:"2,keyasint"`
	CellEpoch model.Offset   `cbor:"3,keyasint"`
	From      model.TargetID `cbor:"4,keyasint"`
	Moves     []record.Move  `cbor:"5,keyasint"`
}

// OverrideAccept reports that the sender accepted the overrides.
type OverrideAccept struct {
	ID OverrideID `cbor:"1,keyasint"`
}

// OverrideQuery queries the proposer for the decision on a proposal that the sender accepted.
type OverrideQuery struct {
	ID OverrideID `cbor:"1,keyasint"`
}

// OverrideDecision reports whether a proposal is committed or aborted.
type OverrideDecision struct {
	ID        OverrideID `cbor:"1,keyasint"`
	Committed bool       `cbor:"2,keyasint"`
}
