package entry

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/control"
	"github.com/tarragonpoint/tarragonpoint/internal/hotkey"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

const (
	// hotKeyCapacity is the number of counters; each takes about 80 bytes.
	hotKeyCapacity = 4096
	// hotKeyHalfLife lets the counters follow keys that become hot within minutes.
	hotKeyHalfLife = 20 * time.Second
	// hotKeyInterval is the time between two reports.
	hotKeyInterval = 5 * time.Second
	// hotKeyCount is the number of keys in a report.
	hotKeyCount = 160
)

// hotKeys counts requests by key. Only keys without home regions are counted, because reports leave the region.
type hotKeys struct {
	clock   clock
	mu      sync.Mutex
	counter *hotkey.Counter[model.Slot]
}

func newHotKeys(c clock) *hotKeys {
	return &hotKeys{clock: c, counter: hotkey.NewCounter[model.Slot](hotKeyCapacity, hotKeyHalfLife, c.Now())}
}

// add counts one request for a key.
func (h *hotKeys) add(table *route.Table, tenant model.Tenant, service model.Service, key string) {
	known, found := table.Services[service]
	account, registered := table.Tenants[tenant]
	if !found || !registered || !known.Keyed || key == "" || account.Class != model.AnyRegion {
		return
	}
	hash := model.KeyHash(service, account.Class, key)
	slot := model.HashSlot(service, account.Class, hash, known.Slots).Split(hash)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counter.Add(h.clock.Now(), slot)
}

func (h *hotKeys) top() []message.HotKey {
	h.mu.Lock()
	defer h.mu.Unlock()
	entries := h.counter.Top(h.clock.Now(), hotKeyCount)
	keys := make([]message.HotKey, 0, len(entries))
	for _, entry := range entries {
		keys = append(keys, message.HotKey{Slot: entry.Key.Parent(), KeyHash: entry.Key.KeyHash, Rate: entry.Rate})
	}
	return keys
}

// report posts the hottest keys to the control loop until ctx ends. threshold returns the rate, in requests a second,
// from which a key is worth reporting; 0 turns reports off.
func (h *hotKeys) report(ctx context.Context, l *loop, threshold func() float64) {
	ticker := time.NewTicker(hotKeyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		lowest := threshold()
		var hot []message.HotKey
		for _, key := range h.top() {
			if lowest > 0 && key.Rate >= lowest {
				hot = append(hot, key)
			}
		}
		if len(hot) > 0 {
			l.post(ctx, control.HotKeysFound{Keys: hot})
		}
	}
}
