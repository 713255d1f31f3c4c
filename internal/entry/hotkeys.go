package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/control"
	"github.com/tarragonpoint/tarragonpoint/internal/hotkey"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

const (
	// hotKeyCapacity is the number of keys that are counted at a time. A counter takes about 80 bytes with a key of
	// 8 bytes, and more with a slot as the key.
	hotKeyCapacity = 4096
	// hotKeyHalfLife is the half-life of the counters. It is short enough to detect keys that become hot within
	// minutes.
	hotKeyHalfLife = 20 * time.Second
	// hotKeyInterval is the time between two reports.
	hotKeyInterval = 5 * time.Second
	// hotKeyCount is the maximum number of keys in a report.
	hotKeyCount = 160
	// hotKeyShare divides the rate of a hot key: an entry VM reports a key from 1/hotKeyShare of that rate on, because
	// the planner sums the rates that all entry VMs report.
	hotKeyShare = 16
)

// hotKeys counts requests by key. It counts only keys of tenants without home regions, because reports leave the
// region.
type hotKeys struct {
	clock   clock
	mu      sync.Mutex
	counter *hotkey.Counter[model.Slot]
	// totals count the requests of each service since the last report.
	totals     map[model.Service]int
	reportedAt model.Instant
}

func newHotKeys(c clock) *hotKeys {
	return &hotKeys{
		clock:      c,
		counter:    hotkey.NewCounter[model.Slot](hotKeyCapacity, hotKeyHalfLife, c.Now()),
		totals:     map[model.Service]int{},
		reportedAt: c.Now(),
	}
}

// add counts one request for a key.
func (h *hotKeys) add(table *route.Table, tenant model.Tenant, service model.Service, key string) {
	svc, found := table.Services[service]
	account, registered := table.Tenants[tenant]
	if !found || !registered || !svc.Keyed || key == "" || account.Class != model.AnyRegion {
		return
	}
	hash := model.KeyHash(service, account.Class, key)
	slot := model.HashSlot(service, account.Class, hash, svc.Slots).Split(hash)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counter.Add(h.clock.Now(), slot)
	h.totals[service]++
}

// take returns the keys with at least minRate, in requests a second, and the rates of the services since the last call.
func (h *hotKeys) take(minRate float64) message.HotKeys {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	var report message.HotKeys
	for _, entry := range h.counter.Top(now, hotKeyCount) {
		if entry.Rate >= minRate {
			key := message.HotKey{Slot: entry.Key.Parent(), KeyHash: entry.Key.KeyHash, Rate: entry.Rate}
			report.Keys = append(report.Keys, key)
		}
	}
	span := max(now.Sub(h.reportedAt), time.Millisecond).Seconds()
	for _, service := range slices.Sorted(maps.Keys(h.totals)) {
		rate := message.ServiceRate{Service: service, Rate: float64(h.totals[service]) / span}
		report.Totals = append(report.Totals, rate)
	}
	h.totals = map[model.Service]int{}
	h.reportedAt = now
	return report
}

// report posts the hottest keys to the control loop until ctx ends. threshold returns the rate, in requests a second,
// from which a key counts as hot; 0 disables reports.
func (h *hotKeys) report(ctx context.Context, l *loop, threshold func() float64) {
	ticker := time.NewTicker(hotKeyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if hot := threshold(); hot > 0 {
			l.post(ctx, control.HotKeysFound{Report: h.take(hot / hotKeyShare)})
		}
	}
}
