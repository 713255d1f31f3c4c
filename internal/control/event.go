package control

import (
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// Event is an input of Node.Step.
type Event interface{ isEvent() }

// Tick triggers time-driven work. It must occur at least every TickInterval.
type Tick struct{}

// LogRead carries records that were read from the log.
type LogRead struct {
	Stream  record.Stream
	Entries []record.Entry
	// End is the offset that the next appended record will get.
	End model.Offset
}

// LogDown reports that the log did not respond to a read.
type LogDown struct{ Stream record.Stream }

// AppendDone reports the completion of an append. If OK is false, the outcome is unknown.
type AppendDone struct {
	Stream record.Stream
	ID     record.ID
	OK     bool
}

// PeerMessage carries a message from another entry VM.
type PeerMessage struct {
	From    model.VMID
	Message message.Message
}

// RenewDone reports the completion of a renewal. Response is nil if it failed.
type RenewDone struct {
	Target   model.TargetID
	Sequence uint64
	Response *target.RenewResponse
	// Withheld is the share of its normal requests that this VM withholds from the target, in percent.
	Withheld int
}

// RevokeDone reports the completion of a revocation. Response is nil if it failed.
type RevokeDone struct {
	Target   model.TargetID
	Sequence uint64
	Response *target.RevokeResponse
}

// VMListRead carries a reading of the platform's VM list.
type VMListRead struct{ List platform.VMListReply }

// Leave starts a planned stop.
type Leave struct{}

// HotKeysFound carries the hot keys that this VM counted.
type HotKeysFound struct{ Report message.HotKeys }

func (Tick) isEvent()         {}
func (LogRead) isEvent()      {}
func (LogDown) isEvent()      {}
func (AppendDone) isEvent()   {}
func (PeerMessage) isEvent()  {}
func (RenewDone) isEvent()    {}
func (RevokeDone) isEvent()   {}
func (VMListRead) isEvent()   {}
func (Leave) isEvent()        {}
func (HotKeysFound) isEvent() {}

// Effect is an output of Node.Step, to be carried out by the caller.
type Effect interface{ isEffect() }

// Append requests that a record be appended. AppendDone reports the completion.
type Append struct {
	Stream record.Stream
	Record record.Record
}

// Send requests that a message be sent to another entry VM. The message may be lost.
type Send struct {
	To      model.VMID
	Message message.Message
}

// Renew requests a lease renewal. RenewDone reports the completion.
type Renew struct {
	Target   model.TargetID
	Address  target.Address
	Sequence uint64
	Request  target.RenewRequest
	Fresh    bool
}

// Revoke requests a revocation of slots. RevokeDone reports the completion.
type Revoke struct {
	Target   model.TargetID
	Address  target.Address
	Sequence uint64
	Request  target.RevokeRequest
}

// Publish replaces the routing table used by the request path.
type Publish struct{ Table *route.Table }

// SetPeers replaces the addresses of the other entry VMs.
type SetPeers struct{ Peers map[model.VMID]string }

// Left reports that this VM has left its cells, so that other members act as lessors from now on.
type Left struct{}

// Notice requests a log line about a decision that is relevant to operators.
type Notice struct {
	Kind   NoticeKind
	Target model.TargetID
	VM     model.VMID
	Count  int
	// Evidence is set for NoticeTakeover only.
	Evidence record.Evidence
}

// NoticeKind identifies the condition that a Notice reports.
type NoticeKind uint8

// The conditions that a Notice can report.
const (
	NoticeTakeover NoticeKind = iota + 1
	NoticeTargetUnresponsive
	NoticeTargetRecovered
	NoticeTargetUp
	NoticeActingAsLessor
	NoticeMemberUnresponsive
	NoticeVMTerminated
	NoticeMoved
	NoticeLogDown
	NoticeLogUp
	NoticeRemoved
	NoticeFailedOver
)

var noticeMessages = map[NoticeKind]string{
	NoticeTakeover:           "Slots were taken over.",
	NoticeTargetUnresponsive: "A target does not respond.",
	NoticeTargetRecovered:    "A target responds again.",
	NoticeTargetUp:           "A target has a new incarnation.",
	NoticeActingAsLessor:     "This VM became the lessor of a target in place of another VM.",
	NoticeMemberUnresponsive: "An unresponsive member is being removed from the cell.",
	NoticeVMTerminated:       "An entry VM was removed from the VM list.",
	NoticeMoved:              "Slots are being moved away from a target.",
	NoticeLogDown:            "The log is unavailable.",
	NoticeLogUp:              "The log is available.",
	NoticeRemoved:            "This VM was removed from its cell and will rejoin it.",
	NoticeFailedOver:         "Slots were failed over inside the cell while the log is down.",
}

// LogMessage returns the text of the log line for a notice.
func (k NoticeKind) LogMessage() string { return noticeMessages[k] }

func (Append) isEffect()   {}
func (Send) isEffect()     {}
func (Renew) isEffect()    {}
func (Revoke) isEffect()   {}
func (Publish) isEffect()  {}
func (SetPeers) isEffect() {}
func (Left) isEffect()     {}
func (Notice) isEffect()   {}
