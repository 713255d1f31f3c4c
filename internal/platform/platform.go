// Package platform defines the entry role's view of the platform: an append-only log and the list of VMs. The plug-ins of
// this package find both in the platform's store, whose protocol package platform in the root of the module speaks.
package platform

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

var (
	errNamespace = errorx.NewNamespace("platform")
	// ErrUnavailable reports that the service did not answer. An append may or may not have taken effect.
	ErrUnavailable = errNamespace.NewType("unavailable")
	// ErrExpired reports that the requested offset is older than the retention of the log.
	ErrExpired = errNamespace.NewType("expired")
	// ErrRejected reports that the service refused the call as invalid, for instance an append of a record that is too
	// large. Nothing was stored.
	ErrRejected = errNamespace.NewType("rejected")
	// ErrSettings reports a plug-in without a usable URL.
	ErrSettings = errNamespace.NewType("settings")
)

// StoredRecord is one record as the log stores it.
type StoredRecord struct {
	Offset model.Offset
	Data   []byte
}

// ReadReply answers a read. Records are contiguous and start at the requested offset.
type ReadReply struct {
	// Oldest is the oldest offset that is still kept.
	Oldest model.Offset
	// End is the offset that the next appended record will get.
	End     model.Offset
	Records []StoredRecord
}

// Log is the append-only log service.
type Log interface {
	// Append adds one record. On ErrUnavailable the outcome is unknown.
	Append(ctx context.Context, stream record.Stream, data []byte) (model.Offset, error)
	// Read returns up to limit records from an offset on and waits up to wait for the first. ErrExpired if from has expired; the reply then
	// carries Oldest.
	Read(ctx context.Context, stream record.Stream, from model.Offset, limit int, wait time.Duration) (ReadReply, error)
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM. A VM that is not listed is gone.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list.
type VM struct {
	ID    model.VMID
	Zone  model.Zone
	State VMState
	// PeerAddress is set for entry VMs, host:port.
	PeerAddress string
}

// VMListReply is the answer of the VM list.
type VMListReply struct {
	// Version grows with every change of the list.
	Version uint64
	VMs     []VM
	// Damaged lists registrations that cannot be read.
	Damaged []string
}

// VMList is the platform's lagging list of VMs.
type VMList interface {
	List(ctx context.Context) (VMListReply, error)
}
