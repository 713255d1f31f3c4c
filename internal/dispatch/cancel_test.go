package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// hedgeAfter hedges every request after a fixed time.
type hedgeAfter time.Duration

func (h hedgeAfter) Delay(model.Service) time.Duration { return time.Duration(h) }
func (h hedgeAfter) Allow(model.Service) bool          { return true }
func (h hedgeAfter) P99(model.Service) time.Duration   { return 0 }

// judged records the outcomes that the chooser gets.
type judged struct {
	defaultChooser
	mu   sync.Mutex
	ends []result.Outcome
}

func (j *judged) End(_ model.TargetID, _ time.Duration, outcome result.Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ends = append(j.ends, outcome)
}

// hang answers when the context ends, as target.HTTPClient does after it asked for the cancellation.
func hang(ctx context.Context) (target.Response, error) {
	<-ctx.Done()
	return target.Response{}, target.ErrTimeout.New("canceled")
}

// Guards against a loser of a hedge that goes on at its target, and against a target that is ejected for losing.
func TestLoserOfHedgeIsCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chooser := &judged{}
		r := newRig(t, func(o *Options) { o.Hedger, o.Chooser = hedgeAfter(50*time.Millisecond), chooser })
		r.client.do = func(ctx context.Context, _ target.Address, request target.Request, count int) (target.Response, error) {
			require.False(t, request.NoCancel)
			if count == 1 {
				return hang(ctx)
			}
			return target.Response{Status: 200}, nil
		}
		r.SetTable(r.newTable(other))
		started := time.Now()
		require.Equal(t, result.Ran, r.Handle(ctx, r.request(unkeyed, true)).Outcome)
		require.Equal(t, 50*time.Millisecond, time.Since(started))
		synctest.Wait()
		require.Equal(t, []result.Outcome{result.Ran, result.NotRun}, chooser.ends)
	})
}

// A caller that goes away ends its idempotent attempts at once, the forwarded ones too; others run to their end.
func TestCallerThatWentAway(t *testing.T) {
	for _, lessor := range []model.VMID{self, other} {
		for _, idempotent := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, nil)
				var ended time.Duration
				started := time.Now()
				r.client.do = func(ctx context.Context, _ target.Address, request target.Request, _ int) (target.Response, error) {
					require.Equal(t, !idempotent, request.NoCancel)
					_, _ = hang(ctx)
					ended = time.Since(started)
					return target.Response{}, target.ErrTimeout.New("canceled")
				}
				table := r.newTable(lessor)
				table.Targets["review-1"].Fencing = route.FencingUnchecked
				r.SetTable(table)
				caller, goAway := context.WithCancel(ctx)
				time.AfterFunc(time.Second/2, goAway)
				r.Handle(caller, r.request(keyed, idempotent))
				require.NoError(t, r.Stop(ctx))
				if lessor == self {
					require.Equal(t, idempotent, ended == time.Second/2)
					return
				}
				last := r.sender.sent[len(r.sender.sent)-1]
				require.Equal(t, idempotent, last.CancelForward != nil)
			})
		}
	}
}

// onePlace is a quarantine in which every fingerprint has one strike.
type onePlace struct {
	noQuarantine
	mu    sync.Mutex
	taken bool
}

func (q *onePlace) Enter(model.Instant, uint64) (func(), bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.taken {
		return nil, false
	}
	q.taken = true
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.taken = false
	}, true
}

// Guards against a second run of a request with a strike while a late attempt of the first may still crash its target.
func TestLateAttemptKeepsItsPlaceInTheQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(o *Options) { o.Quarantine = &onePlace{} })
		r.client.do = func(_ context.Context, _ target.Address, _ target.Request, count int) (target.Response, error) {
			if count == 1 {
				time.Sleep(8 * time.Second)
			}
			return target.Response{Status: 201}, nil
		}
		r.SetTable(r.newTable(self))
		require.Equal(t, result.DeadlineMissed, r.Handle(ctx, r.request(keyed, false)).Code)
		require.Equal(t, result.Quarantined, r.Handle(ctx, r.request(keyed, false)).Code)
		time.Sleep(4 * time.Second)
		require.Equal(t, result.Ran, r.Handle(ctx, r.request(keyed, false)).Outcome)
	})
}

// Guards against a second run, or a lost answer, after the lessor stopped as planned.
func TestHandoverCarriesAnswersToTheNextLessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		next := newRig(t, nil)
		first := newRig(t, func(o *Options) { o.Successors = nextIs(other) })
		first.sender.onSend = func(_ model.VMID, m message.Message) error {
			next.OnMessage(self, m)
			return nil
		}
		first.client.do = func(context.Context, target.Address, target.Request, int) (target.Response, error) {
			return target.Response{Status: 201, Body: []byte("filed")}, nil
		}
		first.SetTable(first.newTable(self))
		request := first.request(keyed, false)
		require.Equal(t, "filed", string(first.Handle(ctx, request).Body))
		require.NoError(t, first.Stop(ctx))
		synctest.Wait()
		table := next.newTable(self)
		lease := next.lease(9, 4)
		lease.Slots[keySlot] = route.SlotLease{Fence: 9, Since: next.clock.Now(), Previous: lease.Term}
		lease.Term.Rank++
		table.Leases["review-1"] = lease
		next.SetTable(table)
		require.Equal(t, "filed", string(next.Handle(ctx, request).Body))
		require.Zero(t, next.client.count())
		fresh := next.request(keyed, false)
		fresh.RequestID = ptr(model.RequestIDAt(fresh.Received, 9))
		require.Equal(t, result.Ran, next.Handle(ctx, fresh).Outcome, "the horizon did not move forward")
	})
}

// An unchecked target gets even idempotent requests from its lessor only, with the lease's end on its own clock.
func TestUncheckedTargetGetsRequestsThroughItsLessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, lessor := range []model.VMID{self, other} {
			r := newRig(t, nil)
			table := r.newTable(lessor)
			table.Targets["review-1"].Fencing = route.FencingUnchecked
			r.SetTable(table)
			r.Handle(ctx, r.request(keyed, true))
			if lessor == self {
				require.Equal(t, model.Instant(77), r.client.sent[0].NotAfter)
				continue
			}
			// The losing attempt may still send its cancellation.
			synctest.Wait()
			require.Zero(t, r.client.count())
			require.NotNil(t, r.sender.sent[0].Forward)
		}
	})
}

// A cold target that refuses a direct request gets the next ones through its lessor before its status says so.
func TestDirectRefusalByColdTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		r.client.do = func(context.Context, target.Address, target.Request, int) (target.Response, error) {
			return target.Response{NotRun: target.RefusedNotOwner, Cold: true}, nil
		}
		r.sender.onSend = func(to model.VMID, m message.Message) error {
			ran := message.ForwardReply{Attempt: m.Forward.Attempt, Outcome: result.Ran, Status: 200}
			go r.OnMessage(to, message.Message{ForwardReply: &ran})
			return nil
		}
		r.SetTable(r.newTable(other))
		for range 2 {
			require.Equal(t, result.Ran, r.Handle(ctx, r.request(keyed, true)).Outcome)
		}
		require.Equal(t, 1, r.client.count())
		time.Sleep(coldNoteLife)
		r.Handle(ctx, r.request(keyed, true))
		require.Equal(t, 2, r.client.count())
	})
}

// A copy of a forwarded message must not run, whether the first is still running or has ended.
func TestCopyOfForwardDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		r.client.do = func(context.Context, target.Address, target.Request, int) (target.Response, error) {
			time.Sleep(time.Second)
			return target.Response{Status: 200}, nil
		}
		r.SetTable(r.newTable(self))
		f := &message.Forward{
			Attempt: "x", Tenant: tenant, Service: keyed, Target: "review-1", Slot: &keySlot, KeyHash: 11, Fence: 9,
			Idempotent: true, Timeout: 3 * time.Second,
		}
		for range 3 {
			r.OnMessage(other, message.Message{Forward: f})
			time.Sleep(800 * time.Millisecond)
		}
		require.NoError(t, r.Stop(ctx))
		require.Equal(t, 1, r.client.count())
		require.Len(t, r.sender.sent, 1)
	})
}
