package dispatch

import (
	"context"
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

var ctx = context.Background()

// Guards against a direct send without a fence, which the target needs to detect a stale owner, and against one with a
// term, which only the lessor may set.
func TestDirectSendCarriesFenceAndNoTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		r.SetTable(r.newTable(other))
		response := r.Handle(ctx, r.request(keyed, true))
		require.Equal(t, result.Ran, response.Outcome)
		require.Equal(t, model.Fence(9), r.client.sent[0].Fence)
		require.Nil(t, r.client.sent[0].Term)
	})
}

// Guards against requests from the lessor without its term or the end of its lease: the target could not refuse them
// after another lessor has taken over.
func TestLessorSetsTermAndLatestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		r.SetTable(r.newTable(self))
		require.Equal(t, result.Ran, r.Handle(ctx, r.request(keyed, false)).Outcome)
		require.Equal(t, model.Offset(3), r.client.sent[0].Term.Epoch)
		require.Equal(t, model.Instant(77), r.client.sent[0].NotAfter)
	})
}

// Guards against sending a non-idempotent request again after its connection broke. The request may have run, so it is
// neither retried nor run for the caller's second attempt.
func TestBrokenNonIdempotentIsUnknownAndNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		r.client.renew = func() (target.RenewResponse, error) { return target.RenewResponse{Incarnation: 5}, nil }
		r.client.do = func(context.Context, target.Address, target.Request, int) (target.Response, error) {
			return target.Response{}, target.ErrBroken.New("reset")
		}
		r.SetTable(r.newTable(self))
		request := r.request(keyed, false)
		for range 2 {
			require.Equal(t, result.Unknown, r.Handle(ctx, request).Outcome)
		}
		require.Equal(t, 1, r.client.count())
	})
}

// Handle must return by the deadline although the target hangs, and the caller's next attempt must get the late
// response.
func TestLateResponseIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		r.client.do = func(context.Context, target.Address, target.Request, int) (target.Response, error) {
			time.Sleep(8 * time.Second)
			return target.Response{Status: 201, Body: []byte("filed")}, nil
		}
		r.SetTable(r.newTable(self))
		request := r.request(keyed, false)
		started := time.Now()
		response := r.Handle(ctx, request)
		require.Equal(t, result.DeadlineMissed, response.Code)
		require.Equal(t, 5*time.Second, time.Since(started))
		request.Deadline = request.Deadline.Add(time.Minute)
		response = r.Handle(ctx, request)
		require.Equal(t, "filed", string(response.Body))
		require.Equal(t, 1, r.client.count())
	})
}

// Guards against reporting "not run" for a non-idempotent request whose ID the lessor has not closed.
func TestNotRunNeedsConfirmationByLessor(t *testing.T) {
	for name, outcome := range map[string]result.Outcome{"closed": result.NotRun, "no reply": result.Unknown} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, nil)
				r.sender.onSend = func(to model.VMID, m message.Message) error {
					switch {
					case m.Forward != nil:
						go r.OnMessage(to, message.Message{ForwardReply: ptr(codeReply(m.Forward.Attempt, result.Quarantined))})
					case m.CloseID != nil && outcome == result.NotRun:
						go r.OnMessage(to, message.Message{ForwardReply: ptr(codeReply(m.CloseID.Attempt, result.RequestClosed))})
					}
					return nil
				}
				r.SetTable(r.newTable(other))
				response := r.Handle(ctx, r.request(keyed, false))
				require.Equal(t, result.Quarantined, response.Code)
				require.Equal(t, outcome, response.Outcome)
			})
		})
	}
}

func ptr[T any](value T) *T { return &value }

// Guards against reporting "not run" for an idempotent request whose first attempt may have run.
func TestEarlierUnknownAttemptForbidsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		r.client.do = func(_ context.Context, _ target.Address, _ target.Request, count int) (target.Response, error) {
			if count == 1 {
				return target.Response{}, target.ErrAttemptMismatch.New("crossed")
			}
			return target.Response{Status: 410, NotRun: target.RefusedDeadline}, nil
		}
		r.SetTable(r.newTable(other))
		require.Equal(t, result.Unknown, r.Handle(ctx, r.request(keyed, true)).Outcome)
		require.Equal(t, 2, r.client.count())
	})
}

// Guards against rejecting a request while its slot changes owners. It must be held and retried.
func TestRequestDuringHandoverIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		r.client.do = func(_ context.Context, _ target.Address, _ target.Request, count int) (target.Response, error) {
			if count < 40 {
				return target.Response{Status: 409, NotRun: target.RefusedNotOwner}, nil
			}
			return target.Response{Status: 200}, nil
		}
		r.SetTable(r.newTable(self))
		started := time.Now()
		require.Equal(t, result.Ran, r.Handle(ctx, r.request(keyed, false)).Outcome)
		require.Equal(t, 39*holdInterval, time.Since(started))
	})
}

// Guards against a request without an owner that is rejected at once or held until its deadline.
func TestRequestWithoutOwnerIsHeldForThreeSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		table := r.newTable(other)
		table.Owners = nil
		r.SetTable(table)
		started := time.Now()
		response := r.Handle(ctx, r.request(keyed, true))
		require.Equal(t, result.OwnerUnavailable, response.Code)
		require.Equal(t, result.NotRun, response.Outcome)
		require.Equal(t, holdLimit, time.Since(started))
	})
}

// Guards against forwarding loops between VMs with different tables. A VM that is not the lessor must reject a
// forwarded request.
func TestForwardedRequestIsNeverForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		r.SetTable(r.newTable(remote))
		r.OnMessage(other, message.Message{Forward: &message.Forward{
			Attempt: "x", Tenant: tenant, Service: keyed, Target: "review-1", Slot: &keySlot, KeyHash: 11, Fence: 9, Idempotent: true,
			Timeout: time.Second,
		}})
		synctest.Wait()
		require.Len(t, r.sender.sent, 1)
		require.Equal(t, result.NotRun, r.sender.sent[0].ForwardReply.Outcome)
		require.Equal(t, other, r.sender.sent[0].to)
	})
}

// Guards against an idempotent request that waits for an unresponsive connection until its deadline, and against an
// attempt that keeps running after another one has won.
func TestUnresponsiveAttemptIsReplacedAndCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		canceled := make(chan struct{})
		r.client.do = func(ctx context.Context, _ target.Address, _ target.Request, count int) (target.Response, error) {
			if count > 1 {
				return target.Response{Status: 200}, nil
			}
			<-ctx.Done()
			close(canceled)
			return target.Response{}, target.ErrTimeout.New("no response")
		}
		r.SetTable(r.newTable(other))
		started := time.Now()
		require.Equal(t, result.Ran, r.Handle(ctx, r.request(keyed, true)).Outcome)
		require.Equal(t, unresponsiveFloor, time.Since(started))
		<-canceled
	})
}

// Guards against canceling a long read when another attempt replaces it as unresponsive: the read would never complete.
func TestLongReadCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const work = 1500 * time.Millisecond
		r := newRig(t, nil)
		r.client.do = func(ctx context.Context, _ target.Address, _ target.Request, _ int) (target.Response, error) {
			select {
			case <-time.After(work):
				return target.Response{Status: 200}, nil
			case <-ctx.Done():
				return target.Response{}, target.ErrTimeout.New("canceled")
			}
		}
		r.SetTable(r.newTable(other))
		started := time.Now()
		require.Equal(t, result.Ran, r.Handle(ctx, r.request(keyed, true)).Outcome)
		require.Equal(t, work, time.Since(started))
	})
}

// A tenant's request must not leave its home regions, neither to a peer nor to a target.
func TestHomeRegionsAreCheckedBeforeEachSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		table := r.newTable(remote)
		home := &route.Tenant{Name: tenant, HomeRegions: []model.Region{"nh-seacoast"}, Class: "nh-seacoast"}
		table.Tenants[tenant] = home
		slot := model.Slot{Service: keyed, Class: home.Class}
		review := table.Targets["review-1"]
		table.Owners = map[model.Slot]route.Owner{slot: {Slot: slot, Fence: 9, Target: review}}
		r.SetTable(table)
		require.Equal(t, result.Unknown, r.Handle(ctx, r.request(keyed, false)).Outcome)
		require.Empty(t, r.sender.sent, "the request ID must not leave the region either")
		f := &message.Forward{Tenant: tenant, Timeout: time.Second}
		outside := *review
		outside.Region = "mass-central"
		require.Equal(t, result.NotRun, r.send(ctx, ctx, f, &outside, home.Class, nil).Outcome)
		require.Zero(t, r.client.count())
	})
}

type strikeCounter struct {
	noQuarantine
	count int
}

func (s *strikeCounter) Strike(model.Instant, uint64, model.TargetID) { s.count++ }

// Guards against retrying a request that crashed its target, and against strikes that are sent to or accepted from
// another region.
func TestStrikeStaysInTheRegionAndIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter := &strikeCounter{}
		r := newRig(t, func(o *Options) { o.Quarantine = counter })
		r.client.do = func(context.Context, target.Address, target.Request, int) (target.Response, error) {
			return target.Response{}, target.ErrBroken.New("reset")
		}
		r.client.renew = func() (target.RenewResponse, error) { return target.RenewResponse{}, target.ErrNotSent.New("refused") }
		r.SetTable(r.newTable(other))
		require.Equal(t, result.TargetFailed, r.Handle(ctx, r.request(unkeyed, true)).Code)
		require.Equal(t, 1, r.client.count())
		require.Len(t, r.sender.sent, 1)
		require.Equal(t, other, r.sender.sent[0].to)
		r.OnMessage(remote, message.Message{Strike: &message.Strike{}})
		require.Equal(t, 1, counter.count)
	})
}

// Guards against running a request twice when the lease is interrupted while the request waits at the gate. The
// admission is no longer valid, because another lessor may have run the ID.
func TestInterruptedLeaseInvalidatesQueuedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		hold := make(chan struct{})
		r.client.do = func(context.Context, target.Address, target.Request, int) (target.Response, error) {
			<-hold
			return target.Response{Status: 200}, nil
		}
		table := r.newTable(self)
		table.Leases = map[model.TargetID]route.Lease{"review-1": r.lease(9, 1)}
		r.SetTable(table)
		first, second := r.request(keyed, false), r.request(keyed, false)
		second.RequestID = ptr(model.RequestIDAt(second.Received, 5))
		responses := make(chan Response, 2)
		go func() { responses <- r.Handle(ctx, first) }()
		synctest.Wait()
		go func() { responses <- r.Handle(ctx, second) }()
		synctest.Wait()
		changed := *table
		lease := r.lease(9, 1)
		lease.Slots = map[model.Slot]route.SlotLease{keySlot: {Fence: 9, Since: r.clock.Now()}}
		changed.Leases = map[model.TargetID]route.Lease{"review-1": lease}
		r.SetTable(&changed)
		close(hold)
		require.Equal(t, result.Ran, (<-responses).Outcome)
		require.Equal(t, result.BeforeHorizon, (<-responses).Code)
		require.Equal(t, 1, r.client.count())
	})
}

// Guards against accepting a reply from a peer that was not queried, and against an unbounded number of pending
// attempts.
func TestReplyFromAnotherPeerIsDropped(t *testing.T) {
	p := pendingForwards{byAttempt: map[string]pendingForward{}, limit: 1}
	reply, _ := p.add("x", other)
	p.deliver(remote, message.ForwardReply{Attempt: "x"})
	require.Empty(t, reply)
	_, ok := p.add("y", other)
	require.False(t, ok, "the table is bounded")
}

// Guards against requests that overtake each other at the gate, and against an unbounded queue.
func TestGateIsFairAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate{limit: 1, maxQueue: 2}
		require.Equal(t, gateAcquired, g.acquire(nil))
		var order []int
		for i := range 2 {
			go func() {
				if g.acquire(nil) == gateAcquired {
					order = append(order, i)
					g.release()
				}
			}()
			synctest.Wait()
		}
		require.Equal(t, gateFull, g.acquire(nil))
		g.release()
		synctest.Wait()
		require.Equal(t, []int{0, 1}, order)
	})
}

type fixedSuccessor model.VMID

func (s fixedSuccessor) Successor(model.TargetID) model.VMID { return model.VMID(s) }

// Guards against a planned stop that interrupts running requests, does not hand their replies over, or admits new
// requests.
func TestStopWaitsForRequestsAndHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(o *Options) { o.Successors = fixedSuccessor(other) })
		r.client.do = func(context.Context, target.Address, target.Request, int) (target.Response, error) {
			time.Sleep(2 * time.Second)
			return target.Response{Status: 200, Body: []byte("filed")}, nil
		}
		r.SetTable(r.newTable(self))
		responses := make(chan Response, 1)
		go func() { responses <- r.Handle(ctx, r.request(keyed, false)) }()
		synctest.Wait()
		require.NoError(t, r.Stop(ctx))
		require.Equal(t, result.Ran, (<-responses).Outcome)
		require.Len(t, r.sender.sent, 1)
		handover := r.sender.sent[0].Handover
		require.Equal(t, "filed", string(handover.Entries[0].Reply.Body))
		require.Equal(t, model.Term{Epoch: 3}, handover.Term)
		require.Equal(t, result.Draining, r.Handle(ctx, r.request(keyed, true)).Code)
	})
}

// Stop must not report a timeout if no request is running, even if its context has already ended.
func TestStopWithEndedContext(t *testing.T) {
	ended, cancel := context.WithCancel(ctx)
	cancel()
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		for range 100 {
			require.NoError(t, r.Stop(ended))
		}
	})
	busy := lifecycle{limit: 1, idle: make(chan struct{})}
	require.Equal(t, enterAccepted, busy.enter())
	busy.stop()
	require.ErrorIs(t, busy.wait(ended), context.Canceled)
}

// Guards against a second forward of a non-idempotent request with an unknown outcome. The lessor's at-most-once table
// may be lost between two attempts, so the VM that received the request must not send a second one.
func TestUnknownForwardOfNonIdempotentIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		r.sender.onSend = func(to model.VMID, m message.Message) error {
			go r.OnMessage(to, message.Message{ForwardReply: ptr(codeReply(m.Forward.Attempt, result.OutcomeUnknown))})
			return nil
		}
		r.SetTable(r.newTable(other))
		require.Equal(t, result.Unknown, r.Handle(ctx, r.request(keyed, false)).Outcome)
		require.Len(t, r.sender.sent, 1)
	})
}

// Guards against retrying a request without a key at the target that refused the connection.
func TestUnkeyedRequestTriesAnotherTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		var tried []target.Address
		r.client.do = func(_ context.Context, address target.Address, _ target.Request, count int) (target.Response, error) {
			tried = append(tried, address)
			if count == 1 {
				return target.Response{}, target.ErrNotSent.New("refused")
			}
			return target.Response{Status: 200}, nil
		}
		r.SetTable(r.newTable(other))
		require.Equal(t, result.Ran, r.Handle(ctx, r.request(unkeyed, true)).Outcome)
		require.NotEqual(t, tried[0], tried[1])
	})
}

// CancelForward must cancel only idempotent requests. A non-idempotent request that was sent must not be interrupted.
func TestCancelForwardIgnoresNonIdempotent(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, nil)
			canceled := false
			r.client.do = func(ctx context.Context, _ target.Address, _ target.Request, _ int) (target.Response, error) {
				select {
				case <-ctx.Done():
					canceled = true
					return target.Response{}, target.ErrTimeout.New("canceled")
				case <-time.After(time.Second):
					return target.Response{Status: 200}, nil
				}
			}
			r.SetTable(r.newTable(self))
			id := model.RequestIDAt(r.clock.Wall(), 1)
			r.OnMessage(other, message.Message{Forward: &message.Forward{
				Attempt: "x", Tenant: tenant, Service: keyed, Target: "review-1", Slot: &keySlot, KeyHash: 11, Fence: 9, RequestID: &id,
				Idempotent: idempotent, ReceivedMillis: r.clock.Wall().UnixMilli(), Timeout: 3 * time.Second,
			}})
			synctest.Wait()
			r.OnMessage(other, message.Message{CancelForward: &message.CancelForward{Attempt: "x"}})
			require.NoError(t, r.Stop(ctx))
			require.Equal(t, idempotent, canceled)
		})
	}
}
