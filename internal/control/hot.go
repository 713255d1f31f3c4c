package control

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// hotReportTTL is the time for which a report counts. It spans several intervals between two reports.
	hotReportTTL = 20 * time.Second
	// maxHotReports limits the number of entry VMs whose reports the planner keeps.
	maxHotReports = 1024
	// maxSplitSlots is the number of hash slots with split keys at which no further hot keys are split, so that a
	// shifting load does not grow the state without bound.
	maxSplitSlots = 4096
)

// hotKeys holds the request rates of hot keys as reported by entry VMs, in requests per second.
type hotKeys struct {
	reports map[model.VMID]hotReport
	// rates holds the sums over all reports that count, by key slot.
	rates map[model.Slot]float64
	// totals holds the rate of all keyed requests of tenants without home regions, by service, and hot the rate of the
	// reported hot keys.
	totals map[model.Service]float64
	hot    map[model.Service]float64
}

type hotReport struct {
	report message.HotKeys
	at     model.Instant
}

func newHotKeys() *hotKeys {
	h := &hotKeys{reports: map[model.VMID]hotReport{}}
	h.sum()
	return h
}

// report replaces the last report of an entry VM and removes expired reports.
func (h *hotKeys) report(now model.Instant, from model.VMID, report message.HotKeys) {
	for vm, known := range h.reports {
		if now.Sub(known.at) >= hotReportTTL {
			delete(h.reports, vm)
		}
	}
	if _, known := h.reports[from]; known || len(h.reports) < maxHotReports {
		h.reports[from] = hotReport{report: report, at: now}
	}
	h.sum()
}

func (h *hotKeys) sum() {
	h.rates = map[model.Slot]float64{}
	h.totals = map[model.Service]float64{}
	h.hot = map[model.Service]float64{}
	for _, vm := range sortedKeys(h.reports) {
		known := h.reports[vm].report
		for _, key := range known.Keys {
			h.rates[key.Slot.Parent().Split(key.KeyHash)] += key.Rate
			h.hot[key.Slot.Service] += key.Rate
		}
		for _, total := range known.Totals {
			h.totals[total.Service] += total.Rate
		}
	}
}

func (h *hotKeys) rate(slot model.Slot) float64 { return h.rates[slot] }

// baseRate returns the mean rate of the hash slots of a service without its hot keys; 0 if it is not known.
func (h *hotKeys) baseRate(service config.Service) float64 {
	if service.Slots == 0 {
		return 0
	}
	return max(0, h.totals[service.Name]-h.hot[service.Name]) / float64(service.Slots)
}

// onHotKeys relays the hot keys that this VM counted to the planner.
func (n *Node) onHotKeys(found HotKeysFound) {
	if n.isPlanner() {
		n.hot.report(n.now, n.settings.VM, found.Report)
		return
	}
	if planner := n.planner(); planner != "" {
		n.send(planner, message.Message{HotKeys: &found.Report})
	}
}

// planner returns the VM that plans placement as far as this VM can determine, or "" if it reaches no member.
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

// splitHot gives hot keys slots of their own. Keys of tenants with home regions are excluded, because no data from
// their requests may be written to the log.
func (n *Node) splitHot() {
	threshold := n.config.State().Rules.HotKeyRate
	if threshold <= 0 || len(n.assign.state.Splits) >= maxSplitSlots {
		return
	}
	for _, slot := range sortedSlots(n.hot.rates) {
		if slot.Class == model.AnyRegion && n.hot.rates[slot] >= threshold {
			n.split(slot)
		}
	}
}
