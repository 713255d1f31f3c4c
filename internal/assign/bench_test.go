package assign

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

const (
	// benchSlotsPerTarget is the number of slots per target at the design size: 486,400 slots over 5,700 targets.
	benchSlotsPerTarget = 85
	benchServices       = 8
	benchZone           = model.Zone("zone-00")
)

// benchSlots are the numbers of slots at 40, 400 and 7,600 nodes.
var benchSlots = []int{2560, 25600, 486400}

func benchSlot(i int) model.Slot {
	service := model.Service("service-" + strconv.Itoa(i%benchServices))
	return model.Slot{Service: service, Class: model.AnyRegion, Index: uint32(i / benchServices)}
}

func benchTarget(i int) model.TargetID {
	return model.TargetID(fmt.Sprintf("target-%05d", i))
}

// benchState returns a state in which every slot has an owner. Each slot is assigned at a different offset, as after
// many moves.
func benchState(slots int) *State {
	state := New()
	for i := range slots {
		state.setOwner(benchSlot(i), benchTarget(i/benchSlotsPerTarget), model.Offset(i+1))
	}
	state.Offset = model.Offset(slots)
	return state
}

// benchMoves returns a record that moves count slots, starting with the given one, to the targets that already own
// them.
func benchMoves(state *State, first, count int) record.Record {
	moves := make([]record.Move, 0, count)
	for i := range count {
		slot := benchSlot((first + i) % len(state.Slots))
		current := state.Slots[slot]
		moves = append(moves, record.Move{Slot: slot, BaseEpoch: current.Epoch, To: current.Owner})
	}
	return record.Record{ID: record.NewID(), Reassign: &record.Reassign{Cell: benchZone, Evidence: record.EvidenceRevoked, Moves: moves}}
}

// BenchmarkApply folds and decodes one record, and reports its encoded size.
func BenchmarkApply(b *testing.B) {
	for _, slots := range benchSlots {
		for _, moves := range []int{1, benchSlotsPerTarget} {
			b.Run(fmt.Sprintf("slots=%d/moves=%d", slots, moves), func(b *testing.B) {
				state := benchState(slots)
				first := 0
				size := 0
				b.ResetTimer()
				for range b.N {
					b.StopTimer()
					data, err := record.Encode(benchMoves(state, first, moves))
					require.NoError(b, err)
					first += moves
					size = len(data)
					b.StartTimer()
					decoded, err := record.Decode(data)
					if err != nil {
						b.Fatal(err)
					}
					if verdict, _ := state.Apply(record.Entry{Offset: state.Offset + 1, Record: decoded}); verdict != Applied {
						b.Fatal(verdict)
					}
				}
				b.ReportMetric(float64(size), "record-B")
			})
		}
	}
}

// BenchmarkSnapshot encodes and loads the whole state, and reports the size and the memory of one slot.
func BenchmarkSnapshot(b *testing.B) {
	for _, slots := range benchSlots {
		before := heapBytes()
		state := benchState(slots)
		memory := float64(heapBytes()-before) / float64(slots)
		taken, err := state.Snapshot()
		require.NoError(b, err)
		b.Run(fmt.Sprintf("encode/slots=%d", slots), func(b *testing.B) {
			for b.Loop() {
				_, _ = state.Snapshot()
			}
			b.ReportMetric(float64(len(taken.State))/float64(slots), "encoded-B/slot")
			b.ReportMetric(memory, "heap-B/slot")
		})
		b.Run(fmt.Sprintf("load/slots=%d", slots), func(b *testing.B) {
			for b.Loop() {
				_, _ = Load(taken)
			}
		})
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
