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

// Tick lets time-driven work run. It must come at least every TickInterval.
type Tick struct{}

// LogRead brings records that were read from the log.
type LogRead struct {
	Stream  record.Stream
	Entries []record.Entry
	// End is the offset that the next appended record will get.
	End model.Offset
}

// LogDown says that the log did not answer a read.
type LogDown struct{ Stream record.Stream }

// AppendDone brings the end of an append. If OK is false its outcome is unknown.
type AppendDone struct {
	ID record.ID
	OK bool
}

// PeerMessage brings a message from another entry VM.
type PeerMessage struct {
	From    model.VMID
	Message message.Message
}

// RenewDone brings the end of a renewal. Reply is nil if it failed.
type RenewDone struct {
	Target   model.TargetID
	Sequence uint64
	Reply    *target.RenewReply
	// Withheld is the part of its normal requests that this VM keeps from the target, in percent.
	Withheld int
}

// RevokeDone brings the end of a revocation. Reply is nil if it failed.
type RevokeDone struct {
	Target   model.TargetID
	Sequence uint64
	Reply    *target.RevokeReply
}

// VMListRead brings a reading of the platform's VM list.
type VMListRead struct{ List platform.VMListReply }

// Leave starts a planned stop.
type Leave struct{}

// HotKeysFound brings the hot keys that this VM counted.
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

// Append asks for a record to be appended. The end comes back as AppendDone.
type Append struct {
	Stream record.Stream
	Record record.Record
}

// Send asks for a message to be sent to another entry VM. It may be lost.
type Send struct {
	To      model.VMID
	Message message.Message
}

// Renew asks for a renewal. The end comes back as RenewDone.
type Renew struct {
	Target   model.TargetID
	Address  target.Address
	Sequence uint64
	Request  target.RenewRequest
	Fresh    bool
}

// Revoke asks for a revocation. The end comes back as RevokeDone.
type Revoke struct {
	Target   model.TargetID
	Address  target.Address
	Sequence uint64
	Request  target.RevokeRequest
}

// Publish replaces the routing table of the request path.
type Publish struct{ Table *route.Table }

// SetPeers replaces the addresses of the other entry VMs.
type SetPeers struct{ Peers map[model.VMID]string }

// Left says that this VM has left its cells: others act as lessors now.
type Left struct{}

// Notice asks for a log line about a decision that operators should see.
type Notice struct {
	Kind   NoticeKind
	Target model.TargetID
	VM     model.VMID
	Count  int
	// Evidence is set for a takeover.
	Evidence record.Evidence
}

// NoticeKind says what a Notice is about.
type NoticeKind uint8

// Kinds of notices.
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
	NoticeActingAsLessor:     "Acting as lessor.",
	NoticeMemberUnresponsive: "Removing an unresponsive member from the cell.",
	NoticeVMTerminated:       "An entry VM was removed from the VM list.",
	NoticeMoved:              "Moving slots.",
	NoticeLogDown:            "The log does not answer.",
	NoticeLogUp:              "The log answers.",
	NoticeRemoved:            "This VM was removed from its cell and will rejoin it.",
	NoticeFailedOver:         "Slots were failed over inside the cell while the log is down.",
}

// LogMessage returns the log line of a notice.
func (k NoticeKind) LogMessage() string { return noticeMessages[k] }

func (Append) isEffect()   {}
func (Send) isEffect()     {}
func (Renew) isEffect()    {}
func (Revoke) isEffect()   {}
func (Publish) isEffect()  {}
func (SetPeers) isEffect() {}
func (Left) isEffect()     {}
func (Notice) isEffect()   {}
