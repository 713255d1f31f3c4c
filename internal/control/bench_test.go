package control

import (
	"fmt"
	"runtime"
	"strconv"
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

// benchSize describes a deployment with 64 slots per node, one entry VM for three targets, and one cell per zone.
type benchSize struct{ nodes, zones int }

func (s benchSize) entries() int { return s.nodes / 4 }
func (s benchSize) targets() int { return s.nodes - s.entries() }
func (s benchSize) slots() int   { return s.nodes * 64 }

var benchSizes = []benchSize{{40, 4}, {400, 4}, {1600, 14}, {7600, 14}}

const (
	benchServices    = 8
	benchIncarnation = model.Incarnation(1 << 62)
	heartbeatTicks   = int(cell.HeartbeatInterval / TickInterval)
)

func (s benchSize) vm(i int) model.VMID         { return model.VMID(fmt.Sprintf("entry-%05d", i)) }
func (s benchSize) target(i int) model.TargetID { return model.TargetID(fmt.Sprintf("target-%05d", i)) }
func (s benchSize) zone(i int) model.Zone       { return model.Zone(fmt.Sprintf("zone-%02d", i%s.zones)) }
func benchService(i int) model.Service {
	return model.Service("service-" + strconv.Itoa(i%benchServices))
}

func (s benchSize) member(i int) record.Member {
	return record.Member{VM: s.vm(i), Incarnation: 1, Zone: s.zone(i), Address: "10.0.0.1:7400"}
}

func (s benchSize) inventory() config.State {
	state := config.Empty()
	for i := range 5 {
		name := model.Region("region-" + strconv.Itoa(i))
		state.Regions[name] = config.Region{Name: name}
	}
	for i := range s.zones {
		state.Zones[s.zone(i)] = config.Zone{Name: s.zone(i), Region: model.Region("region-" + strconv.Itoa(i%5))}
	}
	for i := range benchServices {
		state.Services[benchService(i)] = config.Service{Name: benchService(i), Keyed: true,
			Slots: uint32(s.slots() / benchServices), Fencing: route.FencingChecked, Concurrency: 4, ColdInitial: 4, Timeout: time.Second}
	}
	for i := range s.targets() {
		id := s.target(i)
		state.Targets[id] = config.Target{ID: id, Service: benchService(i), Zone: s.zone(i), VM: model.VMID(id),
			Address: target.Address(fmt.Sprintf("10.%d.%d.1:8080", i/250, i%250))}
	}
	return state
}

// assignments returns the records that join all members, register all targets and assign all slots.
func (s benchSize) assignments() []record.Record {
	var records []record.Record
	for i := range s.entries() {
		records = append(records, record.Record{MemberJoin: &record.MemberJoin{Cell: s.zone(i), Member: s.member(i)}})
	}
	epoch := map[model.Zone]model.Offset{}
	for i := range s.entries() {
		epoch[s.zone(i)] = model.Offset(i + 1)
	}
	for i := range s.targets() {
		up := record.TargetUp{Cell: s.zone(i), CellEpoch: epoch[s.zone(i)], Target: s.target(i), Incarnation: benchIncarnation}
		records = append(records, record.Record{TargetUp: &up})
	}
	moves := make([][]record.Move, s.targets())
	for i := range s.slots() {
		slot := model.Slot{Service: benchService(i), Class: model.AnyRegion, Index: uint32(i / benchServices)}
		owner := i % benchServices
		owner += (i / benchServices) % ((s.targets() - owner + benchServices - 1) / benchServices) * benchServices
		moves[owner] = append(moves[owner], record.Move{Slot: slot, To: s.target(owner)})
	}
	for i, owned := range moves {
		reassign := record.Reassign{Cell: s.zone(i), CellEpoch: epoch[s.zone(i)], Evidence: record.EvidenceUnowned, Moves: owned}
		records = append(records, record.Record{Reassign: &reassign})
	}
	return records
}

// benchRig runs one node in virtual time, responds to its renewals, and simulates the messages of all other entry VMs.
type benchRig struct {
	size     benchSize
	node     *Node
	now      model.Instant
	statuses map[model.VMID][]message.TargetStatus
	sequence uint64
	// counting is true while sent counts the bytes of encoded messages.
	counting bool
	sent     int
	renewals int
	steps    int
}

func newBenchRig(b *testing.B, size benchSize, own int) *benchRig {
	r := &benchRig{size: size, now: model.Instant(time.Second), statuses: map[model.VMID][]message.TargetStatus{}}
	r.node = NewNode(Settings{VM: size.vm(own), Zone: size.zone(own), Incarnation: 1, NewID: record.NewID})
	patch, err := config.Diff(config.Empty(), size.inventory(), "bench")
	require.NoError(b, err)
	configured := record.Entry{Offset: 1, Record: record.Record{ConfigPatch: &patch}}
	r.step(LogRead{Stream: record.ConfigStream, Entries: []record.Entry{configured}, End: 2})
	// The assignments are folded outside of the node, because the node would take minutes at the largest size.
	for i, assigned := range size.assignments() {
		_, err := r.node.assign.state.Apply(record.Entry{Offset: model.Offset(i + 1), Record: assigned})
		require.NoError(b, err)
	}
	r.step(LogRead{Stream: record.AssignStream, End: r.node.assign.Offset() + 1})
	for i := range size.targets() {
		id := size.target(i)
		lessor := cell.Rank(id, r.node.assign.state.Members(size.zone(i)))[0]
		status := route.Status{Incarnation: benchIncarnation, Serving: true, Limit: 4, Lessor: lessor}
		r.statuses[lessor] = append(r.statuses[lessor], message.TargetStatus{Target: id, Status: status})
	}
	return r
}

// step handles one event, and the responses of targets to the renewals that it causes.
func (r *benchRig) step(event Event) {
	r.steps++
	for _, effect := range r.node.Step(r.now, event) {
		switch e := effect.(type) {
		case Renew:
			r.renewals++
			r.step(r.respond(e))
		case Send:
			r.count(e.Message)
			r.replySync(e)
		}
	}
}

func (r *benchRig) respond(renew Renew) RenewDone {
	return RenewDone{Target: renew.Target, Sequence: renew.Sequence, Response: &target.RenewResponse{
		Accepted: true, Term: renew.Request.Term, PreviousTerm: renew.Request.Term, Incarnation: benchIncarnation,
		Clock: r.now, GrantsVersion: renew.Request.GrantsVersion,
	}}
}

// replySync replies for a member of the cell that it knows no overrides, so that the node may act as a lessor.
func (r *benchRig) replySync(sent Send) {
	if query := sent.Message.SyncQuery; query != nil {
		reply := message.SyncReply{Cell: query.Cell, CellEpoch: query.CellEpoch}
		r.node.handle(PeerMessage{From: sent.To, Message: message.Message{SyncReply: &reply}})
	}
}

func (r *benchRig) count(sent message.Message) {
	if !r.counting {
		return
	}
	data, err := record.Encode(sent)
	if err != nil {
		panic(err)
	}
	r.sent += len(data)
}

// receive delivers one message from each other entry VM.
func (r *benchRig) receive(statuses bool) {
	r.sequence++
	for i := range r.size.entries() {
		vm := r.size.vm(i)
		if vm == r.node.settings.VM {
			continue
		}
		received := message.Message{Heartbeat: &message.Heartbeat{
			Incarnation: 1, ConfigOffset: 1, AssignOffset: r.node.assign.Offset(), Zone: r.size.zone(i),
			Synced: []model.Zone{r.size.zone(i)},
		}}
		if statuses {
			received = message.Message{StatusUpdate: r.update(vm)}
		}
		r.node.now = max(r.node.now, r.now)
		r.node.handle(PeerMessage{From: vm, Message: received})
	}
}

func (r *benchRig) update(vm model.VMID) *message.StatusUpdate {
	for i := range r.statuses[vm] {
		r.statuses[vm][i].Status.Sequence = r.sequence
	}
	return &message.StatusUpdate{Statuses: r.statuses[vm]}
}

// second simulates one second without changes: ticks, renewals, heartbeats and statuses. Messages of peers are handled
// without the rest of a step; BenchmarkStep measures that cost for each message.
func (r *benchRig) second() {
	r.receive(true)
	for tick := range int(time.Second / TickInterval) {
		if tick%heartbeatTicks == 0 {
			r.receive(false)
		}
		r.now = r.now.Add(TickInterval)
		r.step(Tick{})
	}
}

// BenchmarkStep measures a step without changes on a member that is not the planner.
func BenchmarkStep(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("nodes=%d", size.nodes), func(b *testing.B) {
			r := newBenchRig(b, size, size.entries()-1)
			r.second()
			for b.Loop() {
				r.node.Step(r.now, Tick{})
			}
		})
	}
}

// BenchmarkFold measures a step that folds one record that moves the slots of one target.
func BenchmarkFold(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("nodes=%d", size.nodes), func(b *testing.B) {
			r := newBenchRig(b, size, size.entries()-1)
			r.second()
			state := r.node.assign.state
			owner := size.target(0)
			for b.Loop() {
				moves := make([]record.Move, 0, state.OwnedCount(owner))
				for _, slot := range state.Owned(owner) {
					moves = append(moves, record.Move{Slot: slot, BaseEpoch: state.Slots[slot].Epoch, To: owner})
				}
				zone := size.zone(0)
				reassign := record.Reassign{Cell: zone, CellEpoch: state.CellEpoch(zone), Evidence: record.EvidenceRevoked, Moves: moves}
				entry := record.Entry{Offset: state.Offset + 1, Record: record.Record{Reassign: &reassign}}
				r.node.Step(r.now, LogRead{Stream: record.AssignStream, Entries: []record.Entry{entry}, End: entry.Offset + 1})
			}
		})
	}
}

// BenchmarkBuildTable measures building a complete routing table and reports the memory that the table takes.
func BenchmarkBuildTable(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("nodes=%d", size.nodes), func(b *testing.B) {
			r := newBenchRig(b, size, size.entries()-1)
			r.second()
			r.node.table = nil
			before := heapBytes()
			table := r.node.buildTable()
			memory := heapBytes() - before
			require.Len(b, table.Owners, size.slots())
			for b.Loop() {
				r.node.table = nil
				r.node.buildTable()
			}
			b.ReportMetric(float64(memory)/1e6, "table-MB")
			runtime.KeepAlive(table)
		})
	}
}

// BenchmarkRefreshTable measures rebuilding the routing table after only a status has changed.
func BenchmarkRefreshTable(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("nodes=%d", size.nodes), func(b *testing.B) {
			r := newBenchRig(b, size, size.entries()-1)
			r.second()
			for b.Loop() {
				r.node.buildTable()
			}
		})
	}
}

// BenchmarkSecond measures one second without changes on a member and on the planner. It reports the bytes of the
// messages sent, the renewals, and the memory of the node.
func BenchmarkSecond(b *testing.B) {
	for _, size := range benchSizes {
		for role, own := range map[string]int{"member": size.entries() - 1, "planner": 0} {
			b.Run(fmt.Sprintf("nodes=%d/%s", size.nodes, role), func(b *testing.B) {
				before := heapBytes()
				r := newBenchRig(b, size, own)
				r.second()
				r.second()
				memory := heapBytes() - before
				r.renewals, r.steps = 0, 0
				seconds := 0
				for b.Loop() {
					r.second()
					seconds++
				}
				b.ReportMetric(float64(r.renewals)/float64(seconds), "renewals/s")
				b.ReportMetric(float64(memory)/1e6, "node-MB")
				r.counting = true
				r.second()
				r.second()
				b.ReportMetric(float64(r.sent)/2, "sent-B/s")
			})
		}
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
