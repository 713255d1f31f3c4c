package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/hub"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// oddEntries are registrations that other writers may leave among those of the targets, by their keys.
func oddEntries() map[string]string {
	entry := func(service, address string) string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","max-concurrency":4,"state":"ready","warmup-left":"0ms","seq":1,"born":1}`, service, address)
	}
	return map[string]string{
		"o-nested":   strings.Repeat("[", 60_000),
		"o-closed":   strings.Repeat(`{"a":`, 30_000) + "1" + strings.Repeat("}", 30_000),
		"o-number":   `{"service":"desk","address":"10.0.0.1:80","zone":"a","max-concurrency":1e999,"state":"ready"}`,
		"o-seq":      `{"service":"desk","address":"10.0.0.1:80","zone":"a","max-concurrency":4,"state":"ready","seq":` + strings.Repeat("9", 400) + `}`,
		"o-port":     entry("desk", "127.0.0.1:99999"),
		"o-keyport":  entry("review", "127.0.0.1:70000"),
		"o-\xff\xfe": entry("review", "127.0.0.1:9"),
		"o-bytes":    "\xff\x00\xfe",
		"o-list":     `[1,2,3]`,
	}
}

// Guards against an entry of another writer that ends a VM, stops it or the VMs to which it is passed on from following the
// list, or gets requests or keys.
func TestVMsFollowTheTargetsBesideOddEntries(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	var links atomic.Int64
	dial := func(ctx context.Context, address string) (*hub.Client, error) {
		links.Add(1)
		return hub.Dial(ctx, address)
	}
	vms := []*gateway{f.gateway, f.startFollowing("vm-2", dial), f.startFollowing("vm-3", dial)}
	follows := func(vm *gateway, id string) func() bool {
		return func() bool {
			_, found := vm.state.lookup(vm.clock.Now(), model.TargetID(id))
			return found
		}
	}
	require.Eventually(t, func() bool { return vms[1].leaderIsRelaying() && vms[2].leaderIsRelaying() }, settleTime, 10*time.Millisecond)
	before := links.Load()
	for round := range 4 {
		for id, value := range oddEntries() {
			for _, topic := range []string{"keyed.servers", "keyed.op", topicStrikes} {
				f.store.Put(topic, id, []byte(value))
				if round == 2 {
					f.store.Put(topic, id, nil)
				}
			}
		}
		id := fmt.Sprint("n-", round)
		f.targets[id] = f.targets["d-1"]
		f.register(id, "desk", "a", "ready")
		for _, vm := range vms {
			require.Eventually(t, follows(vm, id), shareTime, 10*time.Millisecond, "%s", vm.settings.VM)
			for odd := range oddEntries() {
				assert.False(t, follows(vm, odd)(), "%q at %s", odd, vm.settings.VM)
			}
		}
		f.store.Put("keyed.servers", id, nil)
	}
	assert.Equal(t, before, links.Load(), "links to the leader broke")
	vms = append(vms, f.startVM("vm-4"))
	for i, vm := range vms {
		for key := 0; key < 65536; key += 16000 {
			response := f.sendTo(vm, http.MethodPost, "/drafts/1", fmt.Sprint("u-", i, "-", key), "draft", "X-Tarragonpoint-Shard-Key", fmt.Sprint(key))
			assert.Equal(t, http.StatusOK, response.status, "key %d at %s: %s", key, vm.settings.VM, response.body)
		}
		assert.Equal(t, http.StatusOK, f.sendTo(vm, http.MethodGet, "/reads/1", fmt.Sprint("r-", i), "").status)
	}
}
