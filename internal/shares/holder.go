package shares

import (
	"slices"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// rememberedReports is the number of reports whose sending time a VM remembers. A VM sends a few a second, and an answer that
// takes longer than LeaseTTL grants nothing.
const rememberedReports = 256

// Holder is a VM's side: the units that it holds. It is safe for concurrent use.
type Holder struct {
	mu sync.Mutex
	// sentAt holds when the last reports were sent, by their numbers modulo rememberedReports.
	sentAt [rememberedReports]sentReport
	number uint64
	// claimedFrom is the number of the first report over the present link until a grant answers it or a later one; then 0.
	claimedFrom uint64
	// version and units are those of the last grant.
	version uint64
	units   []Unit
	// heldUntil is when the lease of each unit ends.
	heldUntil [Units]model.Instant
	// part is the VM's part of the budget, and partUntil when its lease ends.
	part      float64
	partUntil model.Instant
}

type sentReport struct {
	number uint64
	at     model.Instant
}

// NewHolder returns a holder of no units.
func NewHolder() *Holder { return &Holder{} }

// Request returns the part of the next report that asks for leases. It must be called immediately before the report is sent. isFirst
// is true for the first report over a link.
func (h *Holder) Request(now model.Instant, isFirst bool) Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.number++
	h.sentAt[h.number%rememberedReports] = sentReport{number: h.number, at: now}
	request := Request{Number: h.number, Version: h.version, Part: h.partAt(now)}
	if isFirst {
		h.claimedFrom = h.number
	}
	if h.claimedFrom != 0 {
		for unit := range Unit(Units) {
			if h.heldUntil[unit] > now {
				request.Claims = append(request.Claims, unit)
			}
		}
	}
	return request
}

// Apply applies a grant. It returns true if the list of units changed.
func (h *Holder) Apply(grant Grant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	sent := h.sentAt[grant.Number%rememberedReports]
	if grant.Number == 0 || sent.number != grant.Number {
		return false
	}
	if grant.Number >= h.claimedFrom {
		h.claimedFrom = 0
	}
	units := grant.Units
	if grant.Version == h.version {
		units = h.units
	}
	until := sent.at.Add(LeaseTTL)
	for _, unit := range units {
		if unit < Units {
			h.heldUntil[unit] = max(h.heldUntil[unit], until)
		}
	}
	h.part, h.partUntil = grant.Part, until
	changed := !slices.Equal(units, h.units)
	h.version, h.units = grant.Version, units
	return changed
}

// Held returns how many units the VM holds.
func (h *Holder) Held(now model.Instant) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := 0
	for _, until := range h.heldUntil {
		if now < until {
			held++
		}
	}
	return held
}

// InGroup returns how many of the first units of a group the VM holds.
func (h *Holder) InGroup(now model.Instant, group, first int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := 0
	for index := range first {
		if now < h.heldUntil[group*UnitsPerGroup+index] {
			held++
		}
	}
	return held
}

// Part returns the part of the budget that the VM holds, from 0 to 1.
func (h *Holder) Part(now model.Instant) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.partAt(now)
}

func (h *Holder) partAt(now model.Instant) float64 {
	if now >= h.partUntil {
		return 0
	}
	return h.part
}

// LeftInGroup returns for how long the VM still holds a unit of a group; 0 if it holds none.
func (h *Holder) LeftInGroup(now model.Instant, group int) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	left := time.Duration(0)
	for index := range UnitsPerGroup {
		left = max(left, h.heldUntil[group*UnitsPerGroup+index].Sub(now))
	}
	return left
}
