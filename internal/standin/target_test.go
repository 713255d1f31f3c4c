package standin_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

var slot = model.Slot{Service: "draft-review", Class: model.AnyRegion, Index: 3}

// testTarget is a target with a manual clock, reached through a relay.
type testTarget struct {
	*standin.Target
	client  *target.HTTPClient
	relay   *standin.Relay
	address target.Address
	clock   chan model.Instant
}

func newTestTarget(t *testing.T, options standin.TargetOptions) *testTarget {
	r := &testTarget{client: &target.HTTPClient{}, clock: make(chan model.Instant, 1)}
	r.clock <- 0
	options.Now = func() model.Instant {
		now := <-r.clock
		r.clock <- now
		return now
	}
	var server *standin.Server
	options.OnCrash = func() { server.CloseConnections() }
	r.Target = standin.NewTarget(options)
	server, err := standin.Listen("127.0.0.1:0", r.Target)
	require.NoError(t, err)
	r.relay, err = standin.NewRelay(server.Address)
	require.NoError(t, err)
	r.address = target.Address(r.relay.Address)
	t.Cleanup(func() {
		r.Control(standin.TargetControl{Freeze: new(bool)})
		require.NoError(t, r.client.Stop(context.Background()))
		r.relay.Close()
		server.Close()
	})
	return r
}

func (r *testTarget) advance(d time.Duration) { r.clock <- (<-r.clock).Add(d) }

// grant renews the lease for 2 s and grants the slot under a fence.
func (r *testTarget) grant(t *testing.T, term model.Term, fence model.Fence, excluded ...uint64) target.RenewResponse {
	report := r.Report()
	response, err := r.client.Renew(context.Background(), r.address, target.RenewRequest{
		Term:          term,
		Incarnation:   report.Incarnation,
		ValidUntil:    report.Clock.Add(2 * time.Second),
		GrantsVersion: uint64(fence),
		HasGrants:     true,
		Grants:        []target.Grant{{Slot: slot, Fence: fence, Excluded: excluded}},
	}, false)
	require.NoError(t, err)
	return response
}

func (r *testTarget) send(change func(*target.Request)) (target.Response, error) {
	request := target.Request{Attempt: "a", Method: http.MethodPost, Path: "/x", Slot: &slot, Fence: 5, KeyHash: 1, Timeout: 10 * time.Second}
	request.Header = http.Header{standin.RequestIDHeader: {"id"}}
	request.Body = []byte("body")
	if change != nil {
		change(&request)
	}
	return r.client.Do(context.Background(), r.address, request)
}

func (r *testTarget) refusal(t *testing.T, change func(*target.Request)) target.RefusalReason {
	response, err := r.send(change)
	require.NoError(t, err)
	return response.NotRun
}

// Guards against a stand-in that runs requests which a real target refuses: tests that use it would then be
// meaningless.
func TestTargetChecksLeaseFenceTermAndKey(t *testing.T) {
	r := newTestTarget(t, standin.TargetOptions{ID: "t1"})
	require.Equal(t, target.RefusedNotOwner, r.refusal(t, nil))
	require.True(t, r.grant(t, model.Term{Epoch: 3}, 5, 77).Accepted)
	response, err := r.send(nil)
	require.NoError(t, err)
	require.Empty(t, response.NotRun)
	require.NoError(t, standin.VerifyResponse(response.Body, "id", []byte("body")))
	require.Error(t, standin.VerifyResponse(response.Body, "other", []byte("body")))
	require.Equal(t, target.RefusedNotOwner, r.refusal(t, func(q *target.Request) { q.Fence = 4 }))
	require.Equal(t, target.RefusedNotOwner, r.refusal(t, func(q *target.Request) { q.KeyHash = 77 }))
	require.Equal(t, target.RefusedTerm, r.refusal(t, func(q *target.Request) { q.Term = &model.Term{Epoch: 2, Rank: 9} }))
	require.False(t, r.grant(t, model.Term{Epoch: 2}, 9).Accepted)
	renewed := r.grant(t, model.Term{Epoch: 4}, 5)
	require.Equal(t, model.Term{Epoch: 3}, renewed.PreviousTerm)
	require.Equal(t, target.RefusedDeadline, r.refusal(t, func(q *target.Request) { q.Timeout, q.NotAfter = time.Second, -1 }))
	r.advance(2 * time.Second)
	require.Equal(t, target.RefusedNotOwner, r.refusal(t, nil))
	require.Len(t, r.Runs(), 1)
}

// Guards against a delayed renewal that grants a slot again after it was revoked.
func TestRevokedSlotNeedsAHigherFence(t *testing.T) {
	r := newTestTarget(t, standin.TargetOptions{})
	term := model.Term{Epoch: 1}
	r.grant(t, term, 5)
	revoked, err := r.client.Revoke(context.Background(), r.address, target.RevokeRequest{Term: term, Slots: []target.SlotFence{{Slot: slot, Fence: 5}}})
	require.NoError(t, err)
	require.True(t, revoked.Accepted)
	r.grant(t, term, 5)
	require.Equal(t, target.RefusedNotOwner, r.refusal(t, nil))
	r.grant(t, term, 6)
	require.Empty(t, r.refusal(t, func(q *target.Request) { q.Fence = 6 }))
}

// Guards against a target that, after a freeze, accepts a lease from a renewal that waited in its socket.
func TestRenewalReadAfterFreezeDoesNotExtendLease(t *testing.T) {
	r := newTestTarget(t, standin.TargetOptions{})
	frozen := true
	r.Control(standin.TargetControl{Freeze: &frozen})
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.grant(t, model.Term{Epoch: 1}, 5)
	}()
	require.Eventually(t, func() bool { return len(r.relay.Connections()) == 1 }, 10*time.Second, time.Millisecond)
	r.advance(3 * time.Second)
	r.Control(standin.TargetControl{Freeze: new(bool)})
	<-done
	require.Zero(t, r.Report().LeaseUntil)
	require.Zero(t, r.Report().Grants)
}

// Guards against a crash that keeps grants or the incarnation, or that sends a response to the request which caused it.
func TestCrashResetsGrantsAndSendsNoResponse(t *testing.T) {
	r := newTestTarget(t, standin.TargetOptions{})
	before := r.grant(t, model.Term{Epoch: 1}, 5).Incarnation
	_, err := r.send(func(q *target.Request) { q.Path = "/x?crash=1" })
	require.True(t, errorx.IsOfType(err, target.ErrBroken), "%v", err)
	require.NotEqual(t, before, r.Report().Incarnation)
	require.Equal(t, target.RefusedNotOwner, r.refusal(t, nil))
	require.Equal(t, standin.RunCrashed, r.Runs()[0].Outcome)
	response, err := r.client.Renew(context.Background(), r.address, target.RenewRequest{Incarnation: before, ValidUntil: 1 << 40}, true)
	require.NoError(t, err)
	require.NotEqual(t, before, response.Incarnation)
	require.Zero(t, r.Report().LeaseUntil)
}

// Guards against an overload during the cold start that is not counted, a full queue that does not shed requests, and a
// canceled request that keeps running.
func TestColdOverloadShedAndCancel(t *testing.T) {
	r := newTestTarget(t, standin.TargetOptions{Concurrency: 2, Queue: 0, ColdStart: time.Second, ColdInitial: 1, Unchecked: true})
	ctx, cancel := context.WithCancel(context.Background())
	errs := make(chan error, 2)
	for _, id := range []string{"1", "2"} {
		go func() {
			_, err := r.client.Do(ctx, r.address, target.Request{Attempt: id, Method: "POST", Path: "/x?work_ms=600000", Timeout: time.Minute})
			errs <- err
		}()
	}
	require.Eventually(t, func() bool { return r.Report().Running == 2 }, 10*time.Second, time.Millisecond)
	require.Equal(t, 1, r.Report().Overloads)
	require.Equal(t, target.RefusedShed, r.refusal(t, nil))
	cancel()
	for range 2 {
		require.True(t, errorx.IsOfType(<-errs, target.ErrTimeout))
	}
	require.Eventually(t, func() bool { return r.Report().Running == 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, standin.RunCanceled, r.Runs()[0].Outcome)
}

// Guards against a blocked connection that also blocks new ones, and against a relay that does not stay blocked.
func TestBlockedConnectionDoesNotBlockNewOnes(t *testing.T) {
	r := newTestTarget(t, standin.TargetOptions{})
	r.grant(t, model.Term{Epoch: 1}, 5)
	r.relay.Connections()[0].SetBlocked(true)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := r.client.Renew(ctx, r.address, target.RenewRequest{Term: model.Term{Epoch: 1}}, false)
	require.True(t, errorx.IsOfType(err, target.ErrTimeout), "%v", err)
	_, err = r.client.Renew(context.Background(), r.address, target.RenewRequest{Term: model.Term{Epoch: 1}}, true)
	require.NoError(t, err)
	require.Empty(t, r.refusal(t, nil))
}
