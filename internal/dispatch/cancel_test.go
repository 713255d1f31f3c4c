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

// fixedDelayHedger hedges every request after a fixed delay.
type fixedDelayHedger time.Duration

func (h fixedDelayHedger) Delay(model.Service) time.Duration { return time.Duration(h) }
func (h fixedDelayHedger) Allow(model.Service) bool          { return true }
func (h fixedDelayHedger) P99(model.Service) time.Duration   { return 0 }

// recordingChooser records the outcomes that are reported to the chooser.
type recordingChooser struct {
	defaultChooser
	mu   sync.Mutex
	ends []result.Outcome
}

func (c *recordingChooser) End(_ model.TargetID, _ time.Duration, outcome result.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends = append(c.ends, outcome)
}

// waitForCancel returns an error when the context ends, like target.HTTPClient after it has requested the cancellation.
func waitForCancel(ctx context.Context) (target.Response, error) {
	<-ctx.Done()
	return target.Response{}, target.ErrTimeout.New("canceled")
}

// Guards against a losing hedged attempt that keeps running at its target, and against ejecting the target for losing.
func TestLoserOfHedgeIsCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chooser := &recordingChooser{}
		r := newRig(t, func(o *Options) { o.Hedger, o.Chooser = fixedDelayHedger(50*time.Millisecond), chooser })
		r.client.do = func(ctx context.Context, _ target.Address, request target.Request, count int) (target.Response, error) {
			require.False(t, request.NoCancel)
			if count == 1 {
				return waitForCancel(ctx)
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

// When a caller disconnects, its idempotent attempts must be canceled immediately, and the lessor must be told about
// forwarded ones. Non-idempotent attempts that have been sent must run to completion.
func TestCallerDisconnect(t *testing.T) {
	for _, lessor := range []model.VMID{self, other} {
		for _, idempotent := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, nil)
				var ended time.Duration
				started := time.Now()
				r.client.do = func(ctx context.Context, _ target.Address, request target.Request, _ int) (target.Response, error) {
					require.Equal(t, !idempotent, request.NoCancel)
					_, _ = waitForCancel(ctx)
					ended = time.Since(started)
					return target.Response{}, target.ErrTimeout.New("canceled")
				}
				table := r.newTable(lessor)
				table.Targets["review-1"].Fencing = route.FencingUnchecked
				r.SetTable(table)
				caller, disconnect := context.WithCancel(ctx)
				time.AfterFunc(time.Second/2, disconnect)
				r.Handle(caller, r.request(keyed, idempotent))
				require.NoError(t, r.Stop(ctx))
				if lessor == self {
					require.Equal(t, idempotent, ended == time.Second/2)
					return
				}
				last := r.sender.sent[len(r.sender.sent)-1]
				require.NotNil(t, last.CancelForward)
			})
		}
	}
}

// Guards against a non-idempotent request that is sent after its caller left, because it waited at its target's gate in the
// meantime.
func TestRequestAtGateEndsWithItsCaller(t *testing.T) {
	for name, handle := range map[string]func(r *rig, caller context.Context){
		"received": func(r *rig, caller context.Context) { r.Handle(caller, r.request(keyed, false)) },
		"forwarded": func(r *rig, caller context.Context) {
			f := r.forwarded(false)
			r.OnMessage(other, message.Message{Forward: f})
			<-caller.Done()
			r.OnMessage(other, message.Message{CancelForward: &message.CancelForward{Attempt: f.Attempt}})
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, nil)
			lease := r.lease(9, 0)
			setLimit := func(limit int) {
				lease.Limit = limit
				table := r.newTable(self)
				table.Leases["review-1"] = lease
				r.SetTable(table)
			}
			setLimit(0)
			caller, disconnect := context.WithCancel(ctx)
			time.AfterFunc(time.Second, disconnect)
			handle(r, caller)
			setLimit(4)
			require.NoError(t, r.Stop(ctx))
			require.Zero(t, r.client.count(), name)
		})
	}
}

// Guards against a non-idempotent forwarded request that is canceled at its target because its caller left, and against an
// idempotent one that is not.
func TestSentForwardIsCanceledIfIdempotent(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, nil)
			r.client.do = func(ctx context.Context, _ target.Address, _ target.Request, _ int) (target.Response, error) {
				select {
				case <-ctx.Done():
					return target.Response{}, target.ErrTimeout.New("canceled")
				case <-time.After(time.Second):
					return target.Response{Status: 201}, nil
				}
			}
			r.SetTable(r.newTable(self))
			f := r.forwarded(idempotent)
			r.OnMessage(other, message.Message{Forward: f})
			time.Sleep(time.Second / 2)
			r.OnMessage(other, message.Message{CancelForward: &message.CancelForward{Attempt: f.Attempt}})
			require.NoError(t, r.Stop(ctx))
			last := r.sender.sent[len(r.sender.sent)-1]
			require.Equal(t, !idempotent, last.ForwardReply.Outcome == result.Ran)
		})
	}
}

// singleEntryQuarantine is a quarantine that admits one request at a time, as for a fingerprint with one strike.
type singleEntryQuarantine struct {
	noQuarantine
	mu    sync.Mutex
	taken bool
}

func (q *singleEntryQuarantine) Enter(model.Instant, uint64) (func(), bool) {
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

// Guards against a second run of a request with a strike while a late attempt of the first run may still crash its
// target.
func TestLateAttemptKeepsQuarantineEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(o *Options) { o.Quarantine = &singleEntryQuarantine{} })
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

// Guards against a second run or a lost response after a planned stop of the lessor.
func TestHandoverCarriesResponsesToNextLessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		next := newRig(t, nil)
		first := newRig(t, func(o *Options) { o.Successors = fixedSuccessor(other) })
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

// An unchecked target must get all requests, idempotent ones too, from its lessor only, with the end of the lease on
// the target's clock.
func TestUncheckedTargetGetsRequestsThroughLessor(t *testing.T) {
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
			// A canceled attempt may still send its cancellation after Handle has returned.
			synctest.Wait()
			require.Zero(t, r.client.count())
			require.NotNil(t, r.sender.sent[0].Forward)
		}
	})
}

// After a cold target refuses a direct request, the next requests must go through its lessor, even before the target's
// status reports the cold start.
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
		time.Sleep(coldReportTTL)
		r.Handle(ctx, r.request(keyed, true))
		require.Equal(t, 2, r.client.count())
	})
}

// A duplicate of a forwarded message must not run, whether the original is still running or has ended.
func TestDuplicateForwardDoesNotRun(t *testing.T) {
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
