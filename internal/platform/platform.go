// Package platform defines the router's view of the platform: the append-only log service and the VM list.
// The HTTP plug-ins of this package speak the protocol below.
//
// Log service:
//
//	POST /v1/streams/{stream}/records            body: one record; answer: AppendReply
//	GET  /v1/streams/{stream}/records?from=N&max=M&wait_ms=W   answer: ReadReply; 410 with ReadReply.Oldest if N has expired
//
// VM list:
//
//	GET /v1/vms                                  answer: VMListReply
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

// AppendReply answers an append.
type AppendReply struct {
	Offset model.Offset `json:"offset"`
}

// StoredRecord is one record as the log stores it.
type StoredRecord struct {
	Offset model.Offset `json:"offset"`
	Data   []byte       `json:"data"`
	// TimeMillis is the append time on the log's clock, in ms since 1970.
	TimeMillis int64 `json:"time_ms"`
}

// ReadReply answers a read. Records are contiguous and start at the requested offset.
type ReadReply struct {
	// Oldest is the oldest offset that is still kept.
	Oldest model.Offset `json:"oldest"`
	// End is the offset that the next appended record will get.
	End     model.Offset   `json:"end"`
	Records []StoredRecord `json:"records"`
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
	ID    model.VMID `json:"id"`
	Zone  model.Zone `json:"zone"`
	State VMState    `json:"state"`
	// PeerAddress is set for entry VMs, host:port.
	PeerAddress string `json:"peer_address,omitempty"`
}

// VMListReply is the answer of the VM list.
type VMListReply struct {
	// Version grows with every change of the list.
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// VMList is the platform's lagging list of VMs.
type VMList interface {
	List(ctx context.Context) (VMListReply, error)
}
