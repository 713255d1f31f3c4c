// Package platform defines the interfaces through which the entry role uses the platform: an append-only log and the
// list of VMs. The plug-ins of this package implement both on top of the platform's store, whose protocol is
// implemented by the package platform in the root of the module.
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
	// ErrUnavailable reports that the service did not respond. An append may or may not have taken effect.
	ErrUnavailable = errNamespace.NewType("unavailable")
	// ErrExpired reports that the requested offset is older than the oldest record that the log retains.
	ErrExpired = errNamespace.NewType("expired")
	// ErrRejected reports that the service rejected the call as invalid, for example an append of a record that is too
	// large. Nothing was stored.
	ErrRejected = errNamespace.NewType("rejected")
	// ErrSettings reports a plug-in without a valid URL.
	ErrSettings = errNamespace.NewType("settings")
)

// StoredRecord is a record with its offset in the log.
type StoredRecord struct {
	Offset model.Offset
	Data   []byte
}

// ReadReply is the result of a read. Records are contiguous and start at the requested offset.
type ReadReply struct {
	// Oldest is the oldest offset that is still retained.
	Oldest model.Offset
	// End is the offset that the next appended record will get.
	End     model.Offset
	Records []StoredRecord
}

// Log is the append-only log service.
type Log interface {
	// Append appends one record and returns its offset. On ErrUnavailable the outcome is unknown.
	Append(ctx context.Context, stream record.Stream, data []byte) (model.Offset, error)
	// Read returns up to limit records from an offset on and waits up to wait for the first. It returns ErrExpired if
	// from has expired; the reply then has Oldest set.
	Read(ctx context.Context, stream record.Stream, from model.Offset, limit int, wait time.Duration) (ReadReply, error)
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM. A VM that is not listed has terminated.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list.
type VM struct {
	ID    model.VMID
	Zone  model.Zone
	State VMState
	// PeerAddress is the address for links from other entry VMs, host:port. It is set for entry VMs only.
	PeerAddress string
}

// VMListReply is the result of a query of the VM list.
type VMListReply struct {
	// Version increases with every change of the list.
	Version uint64
	VMs     []VM
	// Damaged lists the keys of registrations that cannot be decoded.
	Damaged []string
}

// VMList is the platform's list of VMs. The list lags behind the actual state.
type VMList interface {
	List(ctx context.Context) (VMListReply, error)
}
