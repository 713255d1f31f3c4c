package dedup

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// BenchmarkAdmit admits and finishes a request without a body while the table holds other IDs, and reports the memory
// of one ID.
func BenchmarkAdmit(b *testing.B) {
	for _, held := range []int{2_000, 20_000, 200_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			before := heapBytes()
			table := New(Limits{})
			table.Cover(slot, fence, start.Add(-time.Hour), model.Term{})
			for i := range held {
				admitAndFinish(b, table, model.RequestIDAt(start, uint64(i)*0x9e3779b97f4a7c15))
			}
			memory := float64(heapBytes()-before) / float64(held)
			next := uint64(held)
			for b.Loop() {
				next++
				id := model.RequestIDAt(start, next*0x9e3779b97f4a7c15)
				admitAndFinish(b, table, id)
				forget(table, id)
			}
			b.ReportMetric(memory, "heap-B/id")
		})
	}
}

func admitAndFinish(b *testing.B, table *Table, id model.RequestID) {
	if got := table.Admit(start, slot, fence, id, start.UnixMilli()).Decision; got != Run {
		b.Fatal(got)
	}
	table.Finish(id, message.ForwardReply{})
}

// forget keeps the number of IDs constant while the benchmark runs.
func forget(table *Table, id model.RequestID) {
	s := table.shardOf(id)
	s.mu.Lock()
	delete(s.entries, id)
	s.mu.Unlock()
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
