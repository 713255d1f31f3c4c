// Package control implements the control loop of one entry VM as a deterministic state machine. It folds the log,
// maintains the leases of its targets, detects failures, moves slots and builds the routing table. Node.Step takes one
// event and returns the effects to carry out; it does no I/O and reads no clock.
package control

import (
	"bytes"
	"sort"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/assign"
	"github.com/tarragonpoint/tarragonpoint/internal/cell"
	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// sequenceBits is the number of low bits that hold the sequence numbers of one process; its incarnation is in the bits
// above, so that sequence numbers do not repeat after a restart.
const sequenceBits = 20

// TickInterval is the maximum time between two steps.
const TickInterval = 25 * time.Millisecond

// Settings holds the configuration of a node that does not change while it runs.
type Settings struct {
	VM   model.VMID
	Zone model.Zone
	// Region is the region of the zone.
	Region      model.Region
	Incarnation model.Incarnation
	// Address is the peer address of this VM, as host:port.
	Address string
	// Seeds maps the peers known from the settings to their addresses.
	Seeds map[model.VMID]string
	// Retention is the time for which the log keeps records. With 0 or less no snapshots are taken.
	Retention time.Duration
	// NewID generates the ID of a new record.
	NewID func() record.ID
}

// Node is the control state of one entry VM. It is not safe for concurrent use.
type Node struct {
	settings    Settings
	incarnation model.Incarnation
	now         model.Instant
	effects     []Effect

	assign   *assignFold
	config   *configFold
	streams  map[record.Stream]*stream
	outbox   *outbox
	detector *cell.Detector
	peers    map[model.VMID]*peer
	watch    *vmWatch

	targets map[model.TargetID]*targetState
	// targetIDs holds the keys of targets, sorted.
	targetIDs []model.TargetID
	statuses  map[model.TargetID]*knownStatus
	// cellChanged maps each cell to the time when this VM folded the last change of its members.
	cellChanged map[model.Zone]model.Instant
	sequence    uint64
	hot         *hotKeys
	syncs       map[model.Zone]*cellSync
	// overrides holds the owners that the members of this VM's cells agreed on while the log was down.
	overrides map[model.Slot]*override
	hints     map[model.Slot]overrideHint
	// decisions holds the outcomes of this VM's own proposals; true means committed.
	decisions map[message.OverrideID]bool

	logUp bool
	// logSeenAt is the time of the last response from the log.
	logSeenAt model.Instant
	// ownersChanged is true if overrides have changed the owners of slots since the last routing table.
	ownersChanged bool
	// readyAt is when the VM became ready to serve.
	readyAt model.Instant
	rejoin  rejoinDelay

	ready   bool
	leaving bool
	left    bool
	// dirty is true if a new routing table must be published.
	dirty bool

	heartbeatAt       model.Instant
	remoteHeartbeatAt model.Instant
	statusAt          model.Instant
	fullStatusAt      model.Instant
	planAt            model.Instant
	publishedAt       model.Instant
	snapshotAt        map[record.Stream]model.Instant
	// knownPeers maps the other entry VMs to their addresses.
	knownPeers map[model.VMID]string
	// requestedAt maps slots to the time at which this VM, as the planner, last requested their move.
	requestedAt map[model.Slot]model.Instant
	// heldMoves holds the planned moves that wait until the assign stream is known to accept records.
	heldMoves map[model.Slot]heldMove
	// appendedBy is when the assign stream last confirmed an append; 0 if a call to it has failed since.
	appendedBy model.Instant
	// probedAt is when the last probe that is not confirmed yet was sent; 0 if there is none.
	probedAt model.Instant
	table    *route.Table
	// pendingStatuses holds the targets whose changed status has not been sent yet.
	pendingStatuses map[model.TargetID]bool
}

// NewNode returns a node that has folded no records.
func NewNode(settings Settings) *Node {
	n := &Node{
		settings:        settings,
		incarnation:     settings.Incarnation,
		assign:          &assignFold{state: assign.New()},
		config:          newConfigFold(),
		outbox:          newOutbox(),
		detector:        cell.NewDetector(),
		peers:           map[model.VMID]*peer{},
		watch:           newVMWatch(),
		targets:         map[model.TargetID]*targetState{},
		statuses:        map[model.TargetID]*knownStatus{},
		cellChanged:     map[model.Zone]model.Instant{},
		hot:             newHotKeys(),
		syncs:           map[model.Zone]*cellSync{},
		overrides:       map[model.Slot]*override{},
		hints:           map[model.Slot]overrideHint{},
		decisions:       map[message.OverrideID]bool{},
		sequence:        uint64(settings.Incarnation) << sequenceBits,
		snapshotAt:      map[record.Stream]model.Instant{},
		knownPeers:      map[model.VMID]string{},
		requestedAt:     map[model.Slot]model.Instant{},
		heldMoves:       map[model.Slot]heldMove{},
		pendingStatuses: map[model.TargetID]bool{},
	}
	n.streams = map[record.Stream]*stream{
		record.AssignStream: {name: record.AssignStream, fold: n.assign},
		record.ConfigStream: {name: record.ConfigStream, fold: n.config},
	}
	return n
}

// NextOffset returns the offset from which a stream should be read next.
func (n *Node) NextOffset(name record.Stream) model.Offset { return n.streams[name].fold.Offset() + 1 }

// Assignments returns the folded assignments. The caller must not modify them.
func (n *Node) Assignments() *assign.State { return n.assign.state }

// Config returns the current configuration. The caller must not modify it.
func (n *Node) Config() config.State { return n.config.State() }

// Table returns the routing table that was published last, or nil before the first one.
func (n *Node) Table() *route.Table { return n.table }

// Step handles one event at an instant of this process's clock and returns the effects to carry out, in order.
func (n *Node) Step(now model.Instant, event Event) []Effect {
	n.now = max(n.now, now)
	n.effects = nil
	n.handle(event)
	n.advance()
	return n.effects
}

func (n *Node) handle(event Event) {
	switch e := event.(type) {
	case LogRead:
		n.onLogRead(e)
	case LogDown:
		n.onLogDown(e)
	case AppendDone:
		n.onAppendDone(e)
	case PeerMessage:
		n.onPeerMessage(e)
	case RenewDone:
		n.onRenewDone(e)
	case RevokeDone:
		n.onRevokeDone(e)
	case VMListRead:
		n.onVMList(e)
	case Leave:
		n.onLeave()
	case HotKeysFound:
		n.onHotKeys(e)
	case Tick:
	}
}

// advance does the work that depends on time or on folded state.
func (n *Node) advance() {
	n.retryAppends()
	n.updatePeers()
	n.maintainMembership()
	n.syncCells()
	n.maintainOverrides()
	n.sendHeartbeats()
	n.maintainLeases()
	n.takeOver()
	n.reconcileOverrides()
	n.runMoves()
	n.plan()
	n.sendStatuses()
	n.snapshot()
	n.publish()
}

func (n *Node) emit(effect Effect) { n.effects = append(n.effects, effect) }

func sortedIDs(items map[record.ID]*outgoing) []record.ID {
	ids := make([]record.ID, 0, len(items))
	for id := range items {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return bytes.Compare(ids[i][:], ids[j][:]) < 0 })
	return ids
}

// sortedKeys returns the keys of a map in sorted order, so that effects do not depend on the map's iteration order.
func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
