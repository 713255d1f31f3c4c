package control

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// hotLife is the time for which a reported rate counts.
	hotLife = time.Minute
	// maxHotKeys bounds the hot keys that the planner follows.
	maxHotKeys = 1024
	// maxSplitKeys bounds the keys split because they are hot, so that a shifting load does not grow the state for ever.
	maxSplitKeys = 4096
)

// hotKeys holds the rates of hot keys as entry VMs reported them.
type hotKeys struct {
	rates map[model.Slot]hotRate
}

type hotRate struct {
	rate float64
	at   model.Instant
}

func newHotKeys() *hotKeys { return &hotKeys{rates: map[model.Slot]hotRate{}} }

// report takes the hot keys that one entry VM counted. The highest recent rate of a key counts.
func (h *hotKeys) report(now model.Instant, keys []message.HotKey) {
	for slot, known := range h.rates {
		if now.Sub(known.at) >= hotLife {
			delete(h.rates, slot)
		}
	}
	for _, key := range keys {
		slot := key.Slot.Parent().Split(key.KeyHash)
		known, exists := h.rates[slot]
		if !exists && len(h.rates) >= maxHotKeys {
			continue
		}
		if !exists || key.Rate >= known.rate {
			h.rates[slot] = hotRate{rate: key.Rate, at: now}
		}
	}
}

func (h *hotKeys) rate(slot model.Slot) float64 { return h.rates[slot].rate }

// onHotKeys passes the keys that this VM counted on to the planner.
func (n *Node) onHotKeys(found HotKeysFound) {
	if n.isPlanner() {
		n.hot.report(n.now, found.Keys)
		return
	}
	if planner := n.planner(); planner != "" {
		n.send(planner, message.Message{HotKeys: &message.HotKeys{Keys: found.Keys}})
	}
}

// planner returns the VM that plans placement as far as this VM can tell.
func (n *Node) planner() model.VMID {
	first := model.VMID("")
	for _, c := range n.assign.state.Cells {
		for vm := range c.Members {
			if n.isReachable(vm) && (first == "" || vm < first) {
				first = vm
			}
		}
	}
	return first
}

// splitHot gives hot keys slots of their own. Keys of tenants with home regions are left out, because nothing taken from
// their requests may reach the log.
func (n *Node) splitHot() {
	threshold := n.config.State().Rules.HotKeyRate
	if threshold <= 0 || len(n.assign.state.Splits) >= maxSplitKeys {
		return
	}
	for _, slot := range sortedSlots(n.hot.rates) {
		if slot.Class == model.AnyRegion && n.hot.rates[slot].rate >= threshold {
			n.split(slot)
		}
	}
}
