// Package message defines the typed messages between entry VMs. They travel as CBOR over authenticated WebSocket connections.
package message

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// Message is one message between entry VMs. Exactly one of the pointers is set.
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

// Heartbeat says that a process is alive and how far it has folded the streams.
type Heartbeat struct {
	Incarnation  model.Incarnation `cbor:"1,keyasint"`
	ConfigOffset model.Offset      `cbor:"2,keyasint"`
	AssignOffset model.Offset      `cbor:"3,keyasint"`
	// Leaving is true during a planned stop.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Zone tells the region of a VM that is not a member of a cell.
	Zone model.Zone `cbor:"5,keyasint,omitempty"`
	// Address is not sent any more, because peers learn it from the log and the VM list. Heartbeats of older versions have it.
	Address string `cbor:"6,keyasint,omitempty"`
	// Synced lists the cells in which the sender may act as a lessor.
	Synced []model.Zone `cbor:"7,keyasint,omitempty"`
}

// StatusUpdate carries changed statuses of targets from their lessor.
type StatusUpdate struct {
	Statuses []TargetStatus `cbor:"1,keyasint"`
	// Overrides are the committed overrides in favor of the targets for which the sender acts.
	Overrides []Override `cbor:"2,keyasint,omitempty"`
}

// TargetStatus is the status of one target.
type TargetStatus struct {
	Target model.TargetID `cbor:"1,keyasint"`
	Status route.Status   `cbor:"2,keyasint"`
}

// StopQuery asks a member to state that it renews no lease of the target at the cell epoch.
type StopQuery struct {
	Cell      model.Zone     `cbor:"1,keyasint"`
	CellEpoch model.Offset   `cbor:"2,keyasint"`
	Target    model.TargetID `cbor:"3,keyasint"`
	// Sequence identifies the takeover for which the sender asks.
	Sequence uint64 `cbor:"4,keyasint"`
}

// StopStatement answers a StopQuery. The sender renews no lease of the target until the cell's epoch changes, the
// target's slots have new owners, or the asker releases it.
type StopStatement struct {
	Cell      model.Zone     `cbor:"1,keyasint"`
	CellEpoch model.Offset   `cbor:"2,keyasint"`
	Target    model.TargetID `cbor:"3,keyasint"`
	// Stopped is false if the sender holds the lease and the target answers it, or if its cell epoch differs.
	Stopped bool `cbor:"4,keyasint"`
	// Remaining is the longest time for which a lease renewed by the sender may still be valid.
	Remaining time.Duration `cbor:"5,keyasint"`
	// Sequence is that of the query.
	Sequence uint64 `cbor:"6,keyasint"`
}

// StopRelease frees the receiver from the statement that it made for a query.
type StopRelease struct {
	Target   model.TargetID `cbor:"1,keyasint"`
	Sequence uint64         `cbor:"2,keyasint"`
	// AssignOffset is how far the sender has folded. The receiver is free once it has folded as far, because a record of
	// the takeover may have moved some of the target's slots.
	AssignOffset model.Offset `cbor:"3,keyasint"`
}

// FetchRecords asks a peer for records of a stream from an offset on.
type FetchRecords struct {
	Stream record.Stream `cbor:"1,keyasint"`
	From   model.Offset  `cbor:"2,keyasint"`
}

// Records answers FetchRecords. If the records have expired, Snapshot covers everything before Entries.
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
	// Target is the target that the sender resolved; the lessor refuses if it resolves another.
	Target    model.TargetID   `cbor:"4,keyasint"`
	Slot      *model.Slot      `cbor:"5,keyasint,omitempty"`
	KeyHash   uint64           `cbor:"6,keyasint,omitempty"`
	Fence     model.Fence      `cbor:"7,keyasint,omitempty"`
	RequestID *model.RequestID `cbor:"8,keyasint,omitempty"`
	// Idempotent is false for a request that must run at most once; RequestID is set then.
	Idempotent bool `cbor:"9,keyasint"`
	// ReceivedMillis is when the entry VM received the request, on its wall clock, in ms since 1970.
	ReceivedMillis int64               `cbor:"10,keyasint"`
	Method         string              `cbor:"11,keyasint"`
	Path           string              `cbor:"12,keyasint"`
	Header         map[string][]string `cbor:"13,keyasint"`
	Body           []byte              `cbor:"14,keyasint"`
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration `cbor:"15,keyasint"`
}

// ForwardReply answers a Forward or a CloseID.
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

// CancelForward ends a forwarded request early because its caller went away. Non-idempotent requests are not canceled once sent.
type CancelForward struct {
	Attempt string `cbor:"1,keyasint"`
}

// CloseID asks the lessor for the outcome of a request ID that the sender is about to refuse. The lessor marks the ID so that attempts
// received before ReceivedMillis do not run.
type CloseID struct {
	Attempt        string          `cbor:"1,keyasint"`
	Slot           model.Slot      `cbor:"2,keyasint"`
	RequestID      model.RequestID `cbor:"3,keyasint"`
	ReceivedMillis int64           `cbor:"4,keyasint"`
	// KeyHash lets the lessor see that the key has a slot of its own by now.
	KeyHash uint64 `cbor:"5,keyasint,omitempty"`
}

// Strike reports that a request broke a target. It goes only to peers in the same region.
type Strike struct {
	Fingerprint uint64         `cbor:"1,keyasint"`
	Target      model.TargetID `cbor:"2,keyasint"`
}

// DedupEntry is one entry of the at-most-once table.
type DedupEntry struct {
	RequestID model.RequestID `cbor:"1,keyasint"`
	// Reply is nil if the request was sent and its outcome is unknown.
	Reply *ForwardReply `cbor:"2,keyasint,omitempty"`
	// ClosedMillis is set if the ID was closed as not run; attempts received before are refused.
	ClosedMillis int64 `cbor:"3,keyasint,omitempty"`
}

// Handover gives the at-most-once table of slots to the next sender. Horizon is the earliest ID time, in ms since 1970, that the table
// covers; 0 covers all.
type Handover struct {
	Slots         []model.Slot `cbor:"1,keyasint"`
	HorizonMillis int64        `cbor:"2,keyasint"`
	Entries       []DedupEntry `cbor:"3,keyasint"`
	// Term and Fence are those under which the old sender held the slots. The next sender relies on the table only if they
	// show that no other sender acted in between.
	Term  model.Term  `cbor:"4,keyasint"`
	Fence model.Fence `cbor:"5,keyasint"`
}

// HotKey is a key with its rate, in requests a second.
type HotKey struct {
	Slot    model.Slot `cbor:"1,keyasint"`
	KeyHash uint64     `cbor:"2,keyasint"`
	Rate    float64    `cbor:"3,keyasint"`
}

// HotKeys reports the hottest keys of one entry VM to the planner.
type HotKeys struct {
	Keys []HotKey `cbor:"1,keyasint"`
	// Totals are the rates of all keyed requests without home regions, by service.
	Totals []ServiceRate `cbor:"2,keyasint,omitempty"`
}

// ServiceRate is the rate of a service's requests at one entry VM, in requests a second.
type ServiceRate struct {
	Service model.Service `cbor:"1,keyasint"`
	Rate    float64       `cbor:"2,keyasint"`
}

// MoveRequest asks the lessor of the slots' owners to move them. The lessor decides when it is safe.
type MoveRequest struct {
	Moves []record.Move `cbor:"1,keyasint"`
}

// SyncQuery asks a member of a cell for the overrides that it knows. The sender joined at the given cell epoch and acts as a
// lessor only when all members have answered.
type SyncQuery struct {
	Cell      model.Zone   `cbor:"1,keyasint"`
	CellEpoch model.Offset `cbor:"2,keyasint"`
}

// SyncReply answers a SyncQuery.
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

// Override gives a slot another owner than the log does, as long as the slot's epoch in the log is Base.
type Override struct {
	ID   OverrideID     `cbor:"1,keyasint"`
	Slot model.Slot     `cbor:"2,keyasint"`
	Base model.Offset   `cbor:"3,keyasint"`
	To   model.TargetID `cbor:"4,keyasint"`
	// Committed is true once all members of the cell have accepted the override. Until then nobody may grant the slot.
	Committed bool `cbor:"5,keyasint"`
}

// OverridePrepare asks a member to accept overrides. From is the target that lost the slots.
type OverridePrepare struct {
	ID        OverrideID     `cbor:"1,keyasint"`
	Cell      model.Zone     `cbor:"2,keyasint"`
	CellEpoch model.Offset   `cbor:"3,keyasint"`
	From      model.TargetID `cbor:"4,keyasint"`
	Moves     []record.Move  `cbor:"5,keyasint"`
}

// OverrideAccept says that the sender accepted the overrides.
type OverrideAccept struct {
	ID OverrideID `cbor:"1,keyasint"`
}

// OverrideQuery asks the proposer what became of a proposal that the sender accepted.
type OverrideQuery struct {
	ID OverrideID `cbor:"1,keyasint"`
}

// OverrideDecision says whether a proposal is committed or aborted.
type OverrideDecision struct {
	ID        OverrideID `cbor:"1,keyasint"`
	Committed bool       `cbor:"2,keyasint"`
}
