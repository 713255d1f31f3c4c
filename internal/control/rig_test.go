package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/cell"
	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

const (
	rigZone    = model.Zone("zone-a")
	rigService = model.Service("svc")
	// rigEpoch is the cell epoch after both members have joined.
	rigEpoch = model.Offset(2)
	// rigBase is the initial epoch of all slots.
	rigBase     = model.Offset(5)
	spareTarget = model.TargetID("heir")
)

// rig runs the node of VM "a" in a cell with the members "a" and "b". Initially the target first owns all slots and
// spareTarget owns none.
type rig struct {
	t     *testing.T
	node  *Node
	now   model.Instant
	first model.TargetID
	// unresponsive holds the targets that do not respond.
	unresponsive map[model.TargetID]bool
	// restarted holds the targets that respond with incarnation 2.
	restarted map[model.TargetID]bool
	terms     map[model.TargetID]model.Term
	// logDown and peerDown make the log and VM "b" unavailable; unsynced keeps "b" from replying to sync queries.
	logDown, peerDown, unsynced bool
	sequence                    uint64
	sent                        []Send
	appended                    []record.Record
	renewed                     []Renew
	revoked                     []Revoke
}

// newRig returns a rig in which the given VM ranks first as the lessor of the target first.
func newRig(t *testing.T, lessor model.VMID) *rig {
	r := &rig{t: t, unresponsive: map[model.TargetID]bool{}, restarted: map[model.TargetID]bool{}, terms: map[model.TargetID]model.Term{}}
	members := []record.Member{{VM: "a", Incarnation: 1, Zone: rigZone, Address: "a:1"}, {VM: "b", Incarnation: 1, Zone: rigZone, Address: "b:1"}}
	for i := 0; r.first == "" || cell.Rank(r.first, members)[0] != lessor; i++ {
		r.first = model.TargetID(fmt.Sprintf("first-%d", i))
	}
	r.node = NewNode(Settings{VM: "a", Zone: rigZone, Incarnation: 1, Address: "a:1", NewID: record.NewID})
	patch, err := config.Diff(config.Empty(), r.inventory(), "test")
	require.NoError(t, err)
	r.read(record.ConfigStream, 1, record.Record{ConfigPatch: &patch})
	moves := []record.Move{{Slot: rigSlot(0), To: r.first}, {Slot: rigSlot(1), To: r.first}}
	r.read(record.AssignStream, 1,
		record.Record{MemberJoin: &record.MemberJoin{Cell: rigZone, Member: members[0]}},
		record.Record{MemberJoin: &record.MemberJoin{Cell: rigZone, Member: members[1]}},
		r.up(r.first, 0, 1), r.up(spareTarget, 0, 1),
		record.Record{Reassign: &record.Reassign{Cell: rigZone, CellEpoch: rigEpoch, Evidence: record.EvidenceUnowned, Moves: moves}})
	return r
}

func rigSlot(i uint32) model.Slot {
	return model.Slot{Service: rigService, Class: model.AnyRegion, Index: i}
}

func (r *rig) inventory() config.State {
	state := config.Empty()
	state.Regions["region"] = config.Region{Name: "region"}
	state.Zones[rigZone] = config.Zone{Name: rigZone, Region: "region"}
	state.Services[rigService] = config.Service{Name: rigService, Keyed: true, Slots: 2, Fencing: route.FencingChecked,
		Concurrency: 4, ColdInitial: 4, Timeout: time.Second}
	for i, id := range []model.TargetID{r.first, spareTarget} {
		address := target.Address(fmt.Sprintf("127.0.0.1:%d", 20000+i))
		state.Targets[id] = config.Target{ID: id, Service: rigService, Zone: rigZone, VM: model.VMID(id), Address: address}
	}
	return state
}

func (r *rig) up(id model.TargetID, previous, incarnation model.Incarnation) record.Record {
	return record.Record{TargetUp: &record.TargetUp{Cell: rigZone, CellEpoch: rigEpoch, Target: id, Previous: previous, Incarnation: incarnation}}
}

// read delivers records from the log, starting at an offset.
func (r *rig) read(stream record.Stream, offset model.Offset, records ...record.Record) {
	var entries []record.Entry
	for i, read := range records {
		read.ID = record.NewID()
		entries = append(entries, record.Entry{Offset: offset + model.Offset(i), Record: read})
	}
	r.step(LogRead{Stream: stream, Entries: entries, End: offset + model.Offset(len(records))})
}

func (r *rig) step(event Event) {
	for _, effect := range r.node.Step(r.now, event) {
		switch e := effect.(type) {
		case Renew:
			r.renewed = append(r.renewed, e)
			r.step(r.respond(e))
		case Revoke:
			r.revoked = append(r.revoked, e)
		case Append:
			r.appended = append(r.appended, e.Record)
		case Send:
			r.sent = append(r.sent, e)
			if query := e.Message.SyncQuery; query != nil && !r.unsynced {
				r.step(PeerMessage{From: e.To, Message: syncReply(*query)})
			}
		}
	}
}

func syncReply(query message.SyncQuery, known ...message.Override) message.Message {
	return message.Message{SyncReply: &message.SyncReply{Cell: query.Cell, CellEpoch: query.CellEpoch, Overrides: known}}
}

func (r *rig) respond(renew Renew) RenewDone {
	done := RenewDone{Target: renew.Target, Sequence: renew.Sequence}
	if r.unresponsive[renew.Target] {
		return done
	}
	incarnation := model.Incarnation(1)
	if r.restarted[renew.Target] {
		incarnation = 2
	}
	done.Response = &target.RenewResponse{Accepted: true, Term: renew.Request.Term, PreviousTerm: r.terms[renew.Target],
		Incarnation: incarnation, Clock: r.now + 1, GrantsVersion: renew.Request.GrantsVersion}
	r.terms[renew.Target] = renew.Request.Term
	return done
}

// receive delivers a message from VM "b".
func (r *rig) receive(m message.Message) { r.step(PeerMessage{From: "b", Message: m}) }

func (r *rig) heartbeat() message.Heartbeat {
	return message.Heartbeat{Incarnation: 1, ConfigOffset: 1, AssignOffset: r.node.assign.Offset(), Zone: rigZone, Synced: []model.Zone{rigZone}}
}

// run advances the time with ticks, readings of the log, and heartbeats and statuses of "b".
func (r *rig) run(span time.Duration) {
	for end := r.now.Add(span); r.now < end; {
		r.now = r.now.Add(TickInterval)
		r.step(Tick{})
		if r.logDown {
			r.step(LogDown{Stream: record.AssignStream})
		} else {
			r.step(LogRead{Stream: record.AssignStream, End: r.node.assign.Offset() + 1})
		}
		if r.peerDown {
			continue
		}
		heartbeat := r.heartbeat()
		r.receive(message.Message{Heartbeat: &heartbeat})
		r.sequence++
		serving := route.Status{Incarnation: 1, Serving: true, Limit: 4, Sequence: r.sequence, Lessor: "b"}
		r.receive(message.Message{StatusUpdate: &message.StatusUpdate{Statuses: []message.TargetStatus{{Target: spareTarget, Status: serving}}}})
	}
}

// stopQuery returns the query of "b" whether "a" renews the lease of the first target.
func (r *rig) stopQuery() message.Message {
	return message.Message{StopQuery: &message.StopQuery{Cell: rigZone, CellEpoch: rigEpoch, Target: r.first, Sequence: 1}}
}

// replyStopped replies to the last stop query sent to a VM that it has stopped and its leases have expired.
func (r *rig) replyStopped(vm model.VMID) {
	query := last(r, vm, func(m message.Message) *message.StopQuery { return m.StopQuery })
	require.NotNil(r.t, query, "%s was sent a stop query", vm)
	statement := message.StopStatement{Cell: query.Cell, CellEpoch: query.CellEpoch, Target: query.Target, Stopped: true, Sequence: query.Sequence}
	r.step(PeerMessage{From: vm, Message: message.Message{StopStatement: &statement}})
}

// last returns the last message of a kind that was sent to a VM, or nil if there is none.
func last[M any](r *rig, vm model.VMID, kind func(message.Message) *M) *M {
	var found *M
	for _, sent := range r.sent {
		if m := kind(sent.Message); m != nil && sent.To == vm {
			found = m
		}
	}
	return found
}

// extended reports whether a renewal since the last call extended the lease of a target.
func (r *rig) extended(id model.TargetID) bool {
	found := false
	for _, renew := range r.renewed {
		found = found || renew.Target == id && renew.Request.ValidUntil > 0
	}
	r.renewed = nil
	return found
}

// reassignedBy returns the last appended Reassign with the given evidence, or nil if there is none.
func (r *rig) reassignedBy(evidence record.Evidence) *record.Reassign {
	var found *record.Reassign
	for _, appended := range r.appended {
		if appended.Reassign != nil && appended.Reassign.Evidence == evidence {
			found = appended.Reassign
		}
	}
	return found
}
