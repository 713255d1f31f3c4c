package route

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// benchSlots are the numbers of slots at 40, 400 and 7,600 nodes.
var benchSlots = []int{2560, 25600, 486400}

const benchService = model.Service("draft-review")

// benchTable returns a table in which every slot of one service has an owner.
func benchTable(slots int) *Table {
	owner := &Target{ID: "target-00000", Service: benchService}
	table := &Table{
		Owners:  make(map[model.Slot]Owner, slots),
		Targets: map[model.TargetID]*Target{owner.ID: owner},
	}
	for i := range slots {
		slot := model.Slot{Service: benchService, Class: model.AnyRegion, Index: uint32(i)}
		table.Owners[slot] = Owner{Slot: slot, Fence: model.Fence(i), Target: owner}
	}
	return table
}

// BenchmarkResolve measures the lookup of owners by key, and reports the memory used per slot.
func BenchmarkResolve(b *testing.B) {
	for _, slots := range benchSlots {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			before := heapBytes()
			table := benchTable(slots)
			memory := float64(heapBytes()-before) / float64(slots)
			service := &Service{Name: benchService, Slots: uint32(slots)}
			key := uint64(1)
			for b.Loop() {
				// An odd multiplier visits the slots in an order that CPU caches cannot predict.
				key = key*6364136223846793005 + 1442695040888963407
				_, found := table.Resolve(service, model.AnyRegion, key>>1|1)
				if !found {
					b.Fatal("no owner")
				}
			}
			b.ReportMetric(memory, "heap-B/slot")
			require.NotNil(b, table)
		})
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
