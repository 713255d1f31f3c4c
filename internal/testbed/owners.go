package testbed

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Ownership is an entry VM's answer to the query for the owner of a key.
type Ownership struct {
	VM    model.VMID
	Owner model.TargetID
	// Epoch is the epoch of the key's slot at that VM.
	Epoch model.Fence
}

// OwnerLedger checks the owners of one key that entry VMs name while the log is up. At any time a key may have one owner
// for each epoch, no VM may return to an earlier epoch, and no new epoch may belong to a lost target.
type OwnerLedger struct {
	owners map[model.Fence]model.TargetID
	newest map[model.VMID]model.Fence
	// lost is the target that is lost now; empty if there is none. Its last epoch is lostAt.
	lost       model.TargetID
	lostAt     model.Fence
	violations []string
}

// NewOwnerLedger returns a ledger without observations.
func NewOwnerLedger() *OwnerLedger {
	return &OwnerLedger{owners: map[model.Fence]model.TargetID{}, newest: map[model.VMID]model.Fence{}}
}

// Observe records the answer of one VM.
func (l *OwnerLedger) Observe(seen Ownership) {
	if known, found := l.owners[seen.Epoch]; found && known != seen.Owner {
		l.report("%s names %s for epoch %d, which belongs to %s", seen.VM, seen.Owner, seen.Epoch, known)
	}
	if seen.Epoch < l.newest[seen.VM] {
		l.report("%s returned from epoch %d to %d of %s", seen.VM, l.newest[seen.VM], seen.Epoch, seen.Owner)
	}
	if seen.Owner == l.lost && seen.Epoch > l.lostAt {
		l.report("%s names the lost target %s for the new epoch %d", seen.VM, seen.Owner, seen.Epoch)
	}
	l.owners[seen.Epoch] = seen.Owner
	l.newest[seen.VM] = max(l.newest[seen.VM], seen.Epoch)
}

// Lose records that a target, the owner so far, cannot serve from now on.
func (l *OwnerLedger) Lose(target model.TargetID) {
	l.lost = target
	for epoch := range l.owners {
		l.lostAt = max(l.lostAt, epoch)
	}
}

// Regain records that the lost target is about to return. It may own the key again under a new epoch.
func (l *OwnerLedger) Regain() { l.lost = "" }

// Replaced reports whether all given VMs name another owner than the lost target.
func (l *OwnerLedger) Replaced(vms []model.VMID) bool {
	return !slices.ContainsFunc(vms, func(vm model.VMID) bool { return l.newest[vm] <= l.lostAt })
}

// Violations returns a description of each broken rule.
func (l *OwnerLedger) Violations() []string { return l.violations }

func (l *OwnerLedger) report(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// CompareOwners returns a description of every run that shows two owners of a key: two targets ran requests for it under
// the same fence, or a run started under a lower fence than an earlier one. It applies while the log is up; during an
// outage a key may change its owner under the same fence.
func CompareOwners(exchanges []Exchange, runs []Run) []string {
	keys := map[string]string{}
	for _, exchange := range exchanges {
		keys[exchange.ID] = exchange.Key
	}
	type grant struct {
		key   string
		fence uint64
	}
	owners := map[grant]model.TargetID{}
	newest := map[string]uint64{}
	var mismatches []string
	sorted := slices.Clone(runs)
	slices.SortStableFunc(sorted, func(a, b Run) int { return a.StartedAt.Compare(b.StartedAt) })
	for _, run := range sorted {
		key := keys[run.RequestID]
		if key == "" {
			continue
		}
		fence, err := strconv.ParseUint(run.Fence, 10, 64)
		if err != nil {
			mismatches = append(mismatches, fmt.Sprintf("run for %s without a valid fence: %+v", key, run))
			continue
		}
		if known, found := owners[grant{key, fence}]; found && known != run.Target {
			mismatches = append(mismatches, fmt.Sprintf("%s and %s ran %s under the same fence: %+v", known, run.Target, key, run))
		}
		if fence < newest[key] {
			mismatches = append(mismatches, fmt.Sprintf("%s ran %s after a run under fence %d: %+v", run.Target, key, newest[key], run))
		}
		owners[grant{key, fence}] = run.Target
		newest[key] = max(newest[key], fence)
	}
	return mismatches
}
