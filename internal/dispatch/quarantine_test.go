package dispatch

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/quarantine"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// tableQuarantine is the quarantine that deployments use. The fingerprint is the length of the path.
type tableQuarantine struct{ *quarantine.Table }

func (tableQuarantine) Fingerprint(_ model.Tenant, _ model.Service, _, path string, _ []byte) uint64 {
	return uint64(len(path))
}

func (q tableQuarantine) Enter(now model.Instant, fingerprint uint64) (func(), bool) {
	verdict, limited := q.Begin(now, quarantine.Fingerprint(fingerprint))
	return func() {
		if limited {
			q.End(quarantine.Fingerprint(fingerprint))
		}
	}, verdict == quarantine.Allowed
}

func (q tableQuarantine) Blocks(now model.Instant, fingerprint uint64) bool {
	return q.BlockLeft(now, quarantine.Fingerprint(fingerprint)) > 0
}

func (q tableQuarantine) Strike(now model.Instant, fingerprint uint64, id model.TargetID) {
	q.Table.Strike(now, quarantine.Fingerprint(fingerprint), id)
}

func newQuarantineRig(t *testing.T) (*rig, tableQuarantine) {
	q := tableQuarantine{quarantine.NewTable(8)}
	return newRig(t, func(o *Options) { o.Quarantine = q }), q
}

// strike counts crashes of targets by requests with a path.
func (r *rig) strike(q tableQuarantine, path string, ids ...model.TargetID) {
	for _, id := range ids {
		q.Strike(r.clock.Now(), uint64(len(path)), id)
	}
}

// newUnservedTable returns a table in which the owner of the key does not serve.
func (r *rig) newUnservedTable() *route.Table {
	table := r.newTable(self)
	table.Targets["review-1"].Status.Serving = false
	return table
}

// blockUntil returns a target's behavior that responds once hold is closed.
func blockUntil(hold chan struct{}) func(context.Context, target.Address, target.Request, int) (target.Response, error) {
	return func(context.Context, target.Address, target.Request, int) (target.Response, error) {
		<-hold
		return target.Response{Status: http.StatusOK}, nil
	}
}

// Guards against requests that were received before their copies crashed two targets, wait for the next owner of their key
// and crash it as soon as it serves, up to 3 s after the second crash.
func TestHeldRequestIsNotSentOnceQuarantined(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r, q := newQuarantineRig(t)
			r.SetTable(r.newUnservedTable())
			crashing, similar := r.request(keyed, idempotent), r.request(keyed, true)
			similar.Path = "/similar"
			responses, others := make(chan Response, 1), make(chan Response, 1)
			go func() { responses <- r.Handle(ctx, crashing) }()
			go func() { others <- r.Handle(ctx, similar) }()
			synctest.Wait()
			r.strike(q, crashing.Path, "t1", "t2")
			r.SetTable(r.newTable(self))
			require.Equal(t, result.OK, (<-others).Code)
			require.Equal(t, result.Quarantined, (<-responses).Code)
			require.Equal(t, 1, r.client.count())
		})
	}
}

// Guards against the same fault when requests wait at the gate of a target that is in a cold start.
func TestRequestAtGateIsNotSentOnceQuarantined(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r, q := newQuarantineRig(t)
			hold := make(chan struct{})
			r.client.do = blockUntil(hold)
			table := r.newTable(self)
			table.Targets["review-1"].Status.Cold = true
			table.Leases = map[model.TargetID]route.Lease{"review-1": r.lease(9, 1)}
			r.SetTable(table)
			first, crashing, similar := r.request(keyed, true), r.request(keyed, idempotent), r.request(keyed, true)
			first.Path, similar.Path = "/first", "/similar"
			responses := map[string]chan Response{}
			for _, request := range []Request{first, crashing, similar} {
				response := make(chan Response, 1)
				responses[request.Path] = response
				go func() { response <- r.Handle(ctx, request) }()
				synctest.Wait()
			}
			require.Equal(t, 1, r.client.count())
			r.strike(q, crashing.Path, "t1", "t2")
			time.Sleep(quarantineRecheck)
			close(hold)
			require.Equal(t, result.Quarantined, (<-responses[crashing.Path]).Code)
			require.Equal(t, result.OK, (<-responses[similar.Path]).Code)
			require.Equal(t, 2, r.client.count())
		})
	}
}

// Guards against held copies of a request with one strike that all run once its key has an owner: one VM may run one of them
// at a time.
func TestHeldRequestsWithStrikeRunOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, q := newQuarantineRig(t)
		hold := make(chan struct{})
		r.client.do = blockUntil(hold)
		r.SetTable(r.newUnservedTable())
		const copies = 5
		responses := make(chan Response, copies)
		for range copies {
			go func() { responses <- r.Handle(ctx, r.request(keyed, true)) }()
		}
		synctest.Wait()
		r.strike(q, r.request(keyed, true).Path, "t1")
		r.SetTable(r.newTable(self))
		for range copies - 1 {
			require.Equal(t, result.Quarantined, (<-responses).Code)
		}
		require.Equal(t, 1, r.client.count())
		close(hold)
		require.Equal(t, result.OK, (<-responses).Code)
		require.Equal(t, result.OK, r.Handle(ctx, r.request(keyed, true)).Code, "the entry was released")
	})
}
