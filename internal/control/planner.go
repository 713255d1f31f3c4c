package control

import (
	"sort"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/assign"
	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/placement"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

const (
	// planInterval is the time between two placement plans.
	planInterval = 500 * time.Millisecond
	// moveRequestTTL is the time for which a requested move is not requested again.
	moveRequestTTL = 3 * time.Second
	// servingGrace is the time for which a target that stopped serving still counts when slots are balanced. A target
	// has no lessor for a moment whenever its lessor is replaced, and each change of the balance moves slots of all
	// other targets.
	servingGrace = 5 * time.Second
	// firstPlanWait is the maximum time for which a newly started planner waits for statuses. Without them, the slots
	// would go to the targets that responded first and soon be moved again.
	firstPlanWait = 3 * time.Second
	// maxPlannedMoves limits the moves of one plan for one service and class, so that rebalancing does not put many
	// slots into handover at the same time.
	maxPlannedMoves = 64
	// minSlowWeight is the minimum weight of a slow target. A slow target keeps some slots because a lessor that sends
	// it no requests cannot detect its recovery.
	minSlowWeight = 0.25
	percent       = 100
)

// plan assigns slots without an owner and requests moves of misplaced slots from the lessors of their owners.
func (n *Node) plan() {
	if n.planAt != 0 && n.now.Sub(n.planAt) < planInterval {
		return
	}
	n.planAt = n.now
	if !n.ready || !n.isPlanner() || !n.streams[record.AssignStream].synced {
		return
	}
	if n.now.Sub(n.readyAt) < firstPlanWait && n.lacksStatuses() {
		return
	}
	n.splitDeclared()
	n.splitHot()
	var unowned []record.Move
	requests := map[model.VMID][]record.Move{}
	state := n.config.State()
	for _, name := range sortedKeys(state.Services) {
		for _, class := range classesOf(state) {
			for _, move := range placement.Plan(n.placementInput(state.Services[name], class, maxPlannedMoves)) {
				n.planMove(move, &unowned, requests)
			}
		}
	}
	n.assignUnowned(unowned)
	for _, vm := range sortedKeys(requests) {
		if vm == n.settings.VM {
			n.startMoves(requests[vm])
			continue
		}
		n.send(vm, message.Message{MoveRequest: &message.MoveRequest{Moves: requests[vm]}})
	}
}

// lacksStatuses reports whether any target in service has no status yet.
func (n *Node) lacksStatuses() bool {
	state := n.config.State()
	for id, configured := range state.Targets {
		if _, known := n.statuses[id]; !known && n.isInService(state, configured) {
			return true
		}
	}
	return false
}

// planMove adds a planned move to those that the planner appends itself (slots without an owner) or to the requests for
// the owner's lessor. Slots of targets that do not serve wait for a takeover.
func (n *Node) planMove(planned placement.Move, unowned *[]record.Move, requests map[model.VMID][]record.Move) {
	move := record.Move{
		Slot:      planned.Slot,
		BaseEpoch: n.assign.state.Slots[planned.Slot].Epoch,
		To:        planned.To,
	}
	if planned.From == "" {
		*unowned = append(*unowned, move)
		return
	}
	if n.activeOverride(planned.Slot) != nil {
		return
	}
	status := n.currentStatus(planned.From)
	if status == nil || !status.Serving {
		return
	}
	if requested, pending := n.requestedAt[planned.Slot]; pending && n.now.Sub(requested) < moveRequestTTL {
		return
	}
	n.requestedAt[planned.Slot] = n.now
	requests[status.Lessor] = append(requests[status.Lessor], move)
}

func (n *Node) assignUnowned(moves []record.Move) {
	if len(moves) == 0 {
		return
	}
	moves = moves[:min(len(moves), maxMovesPerRecord)]
	n.reassign(n.settings.Zone, "unowned", record.EvidenceUnowned, moves)
}

// classesOf returns the placement classes in use, sorted.
func classesOf(state config.State) []model.Class {
	seen := map[model.Class]bool{model.AnyRegion: true}
	for _, tenant := range state.Tenants {
		seen[model.ClassOf(tenant.HomeRegions)] = true
	}
	classes := make([]model.Class, 0, len(seen))
	for class := range seen {
		classes = append(classes, class)
	}
	sort.Slice(classes, func(i, j int) bool { return classes[i] < classes[j] })
	return classes
}

// destinations returns moves of all slots of a target to targets that may receive them. A slot with an undecided
// override goes to the target of that override.
func (n *Node) destinations(from model.TargetID, mayReceive func(config.Target) bool) []record.Move {
	wanted := map[model.Slot]bool{}
	classes := map[model.Class]bool{}
	for _, slot := range n.slotsToReassign(from) {
		wanted[slot] = true
		classes[slot.Class] = true
	}
	state := n.config.State()
	service := state.Services[state.Targets[from].Service]
	var moves []record.Move
	for _, class := range sortedKeys(classes) {
		input := n.placementInput(service, class, 0)
		for i := range input.Targets {
			candidate := state.Targets[input.Targets[i].ID]
			status := n.currentStatus(candidate.ID)
			if candidate.ID == from || status == nil || !status.Serving || !mayReceive(candidate) {
				input.Targets[i].Alive = false
			}
		}
		for _, planned := range placement.Plan(input) {
			if wanted[planned.Slot] && planned.To != from {
				epoch := n.assign.state.Slots[planned.Slot].Epoch
				to := planned.To
				if known := n.activeOverride(planned.Slot); known != nil && !known.Committed {
					to = known.To
				}
				moves = append(moves, record.Move{Slot: planned.Slot, BaseEpoch: epoch, To: to})
			}
		}
	}
	return moves
}

// placementInput returns the slots and targets of a service and class as input for placement.Plan.
func (n *Node) placementInput(service config.Service, class model.Class, maxMoves int) placement.Input {
	state := n.config.State()
	input := placement.Input{
		Class:            class,
		ImbalancePercent: state.Rules.ImbalancePercent,
		MaxMoves:         maxMoves,
	}
	if class == model.AnyRegion {
		input.BaseRate = n.hot.baseRate(service)
	}
	declaredTargets := n.declaredTargets(state, service.Name, class)
	for index := range service.Slots {
		slot := model.Slot{Service: service.Name, Class: class, Index: index}
		input.Slots = append(input.Slots, n.placementSlot(slot, declaredTargets))
		for _, hash := range n.assign.state.Splits[slot] {
			input.Slots = append(input.Slots, n.placementSlot(slot.Split(hash), declaredTargets))
		}
	}
	for _, id := range sortedKeys(state.Targets) {
		configured := state.Targets[id]
		if configured.Service == service.Name {
			input.Targets = append(input.Targets, n.placementTarget(state, configured))
		}
	}
	return input
}

func (n *Node) placementSlot(slot model.Slot, declared map[model.Slot]model.TargetID) placement.Slot {
	return placement.Slot{
		ID:             slot,
		Owner:          n.plannedOwner(slot),
		DeclaredTarget: declared[slot],
		Rate:           n.hot.rate(slot),
	}
}

// plannedOwner returns the owner of a slot for placement: the owner in the log while an override is undecided.
func (n *Node) plannedOwner(slot model.Slot) model.TargetID {
	if owner := n.ownerOf(slot); owner != "" {
		return owner
	}
	return n.assign.state.Slots[slot].Owner
}

func (n *Node) placementTarget(state config.State, configured config.Target) placement.Target {
	status := n.currentStatus(configured.ID)
	return placement.Target{
		ID:         configured.ID,
		Zone:       configured.Zone,
		Region:     state.RegionOf(configured.Zone),
		InService:  n.isInService(state, configured),
		Draining:   configured.Drain || (status != nil && status.Draining),
		Alive:      n.servedRecently(configured.ID, servingGrace),
		Weight:     n.coldWeight(state, configured, status) * slowWeight(state.Rules, status),
		OtherSlots: n.assign.state.OwnedCount(configured.ID),
	}
}

// coldWeight returns the fraction of a full share of slots that a target gets during a cold start.
func (n *Node) coldWeight(state config.State, configured config.Target, status *route.Status) float64 {
	concurrency := state.Services[configured.Service].Concurrency
	if status == nil || !status.Cold || concurrency <= 0 {
		return 1
	}
	return float64(max(1, status.Limit)) / float64(concurrency)
}

// slowWeight returns the fraction of a full share of slots that a slow or failing target keeps.
func slowWeight(rules config.Rules, status *route.Status) float64 {
	if !rules.SlowTargetWeight || status == nil {
		return 1
	}
	return max(minSlowWeight, 1-float64(status.Withheld)/percent)
}

// declaredTargets returns the declared target of each key of a service and class that has a slot of its own.
func (n *Node) declaredTargets(state config.State, service model.Service, class model.Class) map[model.Slot]model.TargetID {
	declared := map[model.Slot]model.TargetID{}
	for id, configured := range state.Targets {
		if configured.Service != service {
			continue
		}
		for _, key := range configured.Keys {
			if state.ClassOf(key.Tenant) == class {
				declared[declaredSlot(state, configured, key)] = id
			}
		}
	}
	return declared
}

func declaredSlot(state config.State, configured config.Target, key config.DeclaredKey) model.Slot {
	service := state.Services[configured.Service]
	class := state.ClassOf(key.Tenant)
	hash := model.KeyHash(service.Name, class, key.Key)
	return model.HashSlot(service.Name, class, hash, service.Slots).Split(hash)
}

// splitDeclared gives each declared key a slot of its own.
func (n *Node) splitDeclared() {
	state := n.config.State()
	for _, id := range sortedKeys(state.Targets) {
		for _, key := range state.Targets[id].Keys {
			n.split(declaredSlot(state, state.Targets[id], key))
		}
	}
}

func (n *Node) split(slot model.Slot) {
	if _, exists := n.assign.state.Slots[slot]; exists {
		return
	}
	parent, owned := n.assign.state.Slots[slot.Parent()]
	if !owned {
		return
	}
	obsolete := func() bool {
		_, exists := n.assign.state.Slots[slot]
		return exists || n.assign.state.Slots[slot.Parent()].Epoch != parent.Epoch
	}
	split := record.Split{Slot: slot, BaseEpoch: parent.Epoch}
	n.submit(record.AssignStream, "split "+slot.String(), record.Record{Split: &split}, obsolete)
}

func sortedSlots[V any](m map[model.Slot]V) []model.Slot {
	slots := make([]model.Slot, 0, len(m))
	for slot := range m {
		slots = append(slots, slot)
	}
	assign.SortSlots(slots)
	return slots
}
