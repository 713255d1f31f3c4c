package testbed

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// watchInterval is the time between two queries for the owner of a watched key to all entry VMs.
const watchInterval = 50 * time.Millisecond

// ownerWatch queries all ready entry VMs for the owner of a key until it is stopped.
type ownerWatch struct {
	f     *fixture
	key   string
	mutex sync.Mutex
	// ledger is guarded by mutex.
	ledger *OwnerLedger
	cancel context.CancelFunc
	done   chan struct{}
}

// watchOwner starts to follow the owner of a key at all entry VMs.
func (f *fixture) watchOwner(key string) *ownerWatch {
	ctx, cancel := context.WithCancel(f.ctx)
	w := &ownerWatch{f: f, key: key, ledger: NewOwnerLedger(), cancel: cancel, done: make(chan struct{})}
	f.t.Cleanup(cancel)
	w.observe(ctx)
	go func() {
		defer close(w.done)
		for ctx.Err() == nil {
			w.observe(ctx)
			time.Sleep(watchInterval)
		}
	}()
	return w
}

// observe queries each entry VM once. VMs that do not respond or are not ready are left out.
func (w *ownerWatch) observe(ctx context.Context) {
	for _, e := range w.f.Entries() {
		status, err := w.f.Status(ctx, e)
		if err != nil || !status.Ready {
			continue
		}
		response, err := w.f.Owner(ctx, e, keyed, tenant, w.key)
		if err != nil {
			continue
		}
		w.update(func(l *OwnerLedger) { l.Observe(Ownership{VM: e.VM, Owner: response.Owner, Epoch: response.Epoch}) })
	}
}

func (w *ownerWatch) update(change func(l *OwnerLedger)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	change(w.ledger)
}

// lose marks a target as lost, after which awaitReplaced waits until all entry VMs name another owner.
func (w *ownerWatch) lose(target model.TargetID) { w.update(func(l *OwnerLedger) { l.Lose(target) }) }

func (w *ownerWatch) awaitReplaced() {
	w.f.t.Helper()
	var vms []model.VMID
	for _, e := range w.f.Entries() {
		vms = append(vms, e.VM)
	}
	require.NoError(w.f.t, Await(w.f.ctx, recoveryTimeout, "all entry VMs to name another owner", func() bool {
		replaced := false
		w.update(func(l *OwnerLedger) { replaced = l.Replaced(vms) })
		return replaced
	}))
}

// regain marks the lost target as about to return.
func (w *ownerWatch) regain() { w.update(func(l *OwnerLedger) { l.Regain() }) }

// stop ends the watch and requires that it saw no violation, and that no two targets ran requests for any key at once.
func (w *ownerWatch) stop() {
	w.f.t.Helper()
	w.cancel()
	<-w.done
	require.Empty(w.f.t, w.ledger.Violations())
	runs, err := w.f.Runs()
	require.NoError(w.f.t, err)
	require.Empty(w.f.t, CompareOwners(w.f.caller.Exchanges(), runs))
}

// Guards against a check of the owners that misses a second or an earlier owner, or reports a planned move.
func TestOwnerLedgerFindsViolations(t *testing.T) {
	type step = func(l *OwnerLedger)
	see := func(vm model.VMID, owner model.TargetID, epoch model.Fence) step {
		return func(l *OwnerLedger) { l.Observe(Ownership{VM: vm, Owner: owner, Epoch: epoch}) }
	}
	lose := func(l *OwnerLedger) { l.Lose("old") }
	regain := func(l *OwnerLedger) { l.Regain() }
	for name, c := range map[string]struct {
		steps      []step
		violations int
	}{
		"replaced":                      {[]step{see("a", "old", 5), lose, see("a", "old", 5), see("a", "new", 7), see("b", "old", 5), see("b", "new", 7)}, 0},
		"moved back after its return":   {[]step{see("a", "old", 5), lose, see("a", "new", 7), regain, see("a", "old", 9)}, 0},
		"moved back while it is lost":   {[]step{see("a", "old", 5), lose, see("a", "new", 7), see("a", "old", 9)}, 1},
		"named by another VM when lost": {[]step{see("a", "old", 5), lose, see("a", "new", 7), see("b", "old", 9)}, 1},
		"returned to the earlier epoch": {[]step{see("a", "old", 5), lose, see("a", "new", 7), regain, see("a", "old", 5)}, 1},
		"two owners of one epoch":       {[]step{see("a", "old", 5), lose, see("a", "new", 7), see("b", "other", 7)}, 1},
	} {
		ledger := NewOwnerLedger()
		for _, step := range c.steps {
			step(ledger)
		}
		require.Len(t, ledger.Violations(), c.violations, "%s: %v", name, ledger.Violations())
	}
	ledger := NewOwnerLedger()
	see("a", "old", 5)(ledger)
	see("b", "old", 5)(ledger)
	lose(ledger)
	see("a", "new", 7)(ledger)
	require.False(t, ledger.Replaced([]model.VMID{"a", "b"}))
	see("b", "new", 7)(ledger)
	require.True(t, ledger.Replaced([]model.VMID{"a", "b"}))
}

// Guards against a comparison of runs that misses two owners of a key, or reports one owner after the other.
func TestCompareOwnersFindsTwoOwners(t *testing.T) {
	exchanges := []Exchange{{Request: Request{ID: "id", Key: "key"}}, {Request: Request{ID: "other", Key: "other"}}, {Request: Request{ID: "none"}}}
	run := func(id string, target model.TargetID, fence uint64, start int64) Run {
		return Run{Run: standin.Run{RequestID: id, Fence: strconv.FormatUint(fence, 10)}, Target: target, StartedAt: time.UnixMilli(start)}
	}
	for name, c := range map[string]struct {
		runs       []Run
		mismatches int
	}{
		"one after the other":        {[]Run{run("id", "t1", 5, 1), run("id", "t2", 7, 2), run("id", "t1", 9, 3)}, 0},
		"read in another order":      {[]Run{run("id", "t2", 7, 2), run("id", "t1", 5, 1)}, 0},
		"other key":                  {[]Run{run("id", "t2", 7, 1), run("other", "t1", 5, 2)}, 0},
		"request without a key":      {[]Run{run("none", "t2", 0, 1), run("none", "t1", 0, 2)}, 0},
		"former owner again":         {[]Run{run("id", "t1", 5, 1), run("id", "t2", 7, 2), run("id", "t1", 5, 3)}, 1},
		"two owners of one fence":    {[]Run{run("id", "t1", 5, 1), run("id", "t2", 5, 2)}, 1},
		"fence that is not readable": {[]Run{{Run: standin.Run{RequestID: "id", Fence: "x"}}}, 1},
	} {
		require.Len(t, CompareOwners(exchanges, c.runs), c.mismatches, name)
	}
}
