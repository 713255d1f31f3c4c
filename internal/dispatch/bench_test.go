package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/dedup"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// benchClient responds immediately and records nothing.
type benchClient struct{ fakeClient }

func (*benchClient) Do(context.Context, target.Address, target.Request) (target.Response, error) {
	return target.Response{Status: 200}, nil
}

func newBenchRig(b *testing.B) *rig {
	r := &rig{sender: &fakeSender{}, clock: fakeClock{origin: time.Now().Add(-time.Hour)}}
	limits := dedup.Limits{MaxEntries: 1 << 24}
	r.Dispatcher = New(Options{Client: &benchClient{}, Sender: r.sender, Clock: r.clock, Dedup: dedup.New(limits)})
	b.Cleanup(func() { _ = r.Stop(context.Background()) })
	return r
}

// BenchmarkHandle measures the request path without HTTP and network.
func BenchmarkHandle(b *testing.B) {
	cases := map[string]struct {
		service    model.Service
		idempotent bool
		lessor     model.VMID
	}{
		"keyed":          {keyed, true, other},
		"unkeyed":        {unkeyed, true, other},
		"non-idempotent": {keyed, false, self},
	}
	for name, c := range cases {
		b.Run(name, func(b *testing.B) {
			r := newBenchRig(b)
			r.SetTable(r.newTable(c.lessor))
			count := uint64(0)
			for b.Loop() {
				request := r.request(c.service, c.idempotent)
				if !c.idempotent {
					count++
					id := model.RequestIDAt(request.Received, count*0x9e3779b97f4a7c15)
					request.RequestID = &id
				}
				if response := r.Handle(ctx, request); response.Outcome != result.Ran {
					b.Fatal(response.Code)
				}
			}
		})
	}
}

// BenchmarkSetTable measures publishing an unchanged table, by the number of slots in this VM's leases and of targets.
func BenchmarkSetTable(b *testing.B) {
	for _, size := range []struct{ leased, targets int }{{256, 30}, {256, 300}, {256, 5700}, {2560, 5700}} {
		b.Run(fmt.Sprintf("leased=%d/targets=%d", size.leased, size.targets), func(b *testing.B) {
			r := newBenchRig(b)
			table := r.newTable(self)
			lease := r.lease(9, 4)
			for i := range size.leased {
				slot := keySlot
				slot.Index = uint32(i)
				lease.Slots[slot] = lease.Slots[keySlot]
			}
			table.Leases["review-1"] = lease
			for i := range size.targets {
				id := model.TargetID(fmt.Sprintf("target-%05d", i))
				table.Targets[id] = checkedTarget(id, keyed, other)
			}
			for b.Loop() {
				r.SetTable(table)
			}
		})
	}
}
