package config

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// benchTargets are the target counts of deployments with 40, 400 and 7,600 nodes.
var benchTargets = []int{30, 300, 5700}

func benchState(targets int) State {
	state := Empty()
	state.Version = 1
	state.Regions["region-0"] = Region{Name: "region-0"}
	state.Zones["zone-00"] = Zone{Name: "zone-00", Region: "region-0"}
	state.Services["service-0"] = Service{Name: "service-0", Keyed: true, Slots: 64, Fencing: route.FencingChecked,
		Concurrency: 4, ColdInitial: 1, Timeout: MaxTimeout}
	for i := range targets {
		id := model.TargetID(fmt.Sprintf("target-%05d", i))
		address := target.Address(fmt.Sprintf("10.%d.%d.1:8080", i/250, i%250))
		state.Targets[id] = Target{ID: id, Service: "service-0", Zone: "zone-00", VM: model.VMID(id), Address: address}
	}
	return state
}

// BenchmarkApply applies a patch that drains one target. It also reports the encoded size of the patch and the snapshot
// size per target.
func BenchmarkApply(b *testing.B) {
	for _, targets := range benchTargets {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			state := benchState(targets)
			changed := state.Clone()
			drained := changed.Targets["target-00000"]
			drained.Drain = true
			changed.Targets["target-00000"] = drained
			patch, err := Diff(state, changed, "operator-1")
			require.NoError(b, err)
			encoded, err := record.Encode(record.Record{ID: record.NewID(), ConfigPatch: &patch})
			require.NoError(b, err)
			snapshot, err := (&Fold{state: state, offset: 1}).EncodeSnapshot()
			require.NoError(b, err)
			for b.Loop() {
				if _, err := Apply(state, 2, patch); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded)), "record-B")
			b.ReportMetric(float64(len(snapshot.State))/float64(targets), "snapshot-B/target")
		})
	}
}
