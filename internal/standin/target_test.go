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
	tt := &testTarget{client: &target.HTTPClient{}, clock: make(chan model.Instant, 1)}
	tt.clock <- 0
	options.Now = func() model.Instant {
		now := <-tt.clock
		tt.clock <- now
		return now
	}
	var server *standin.Server
	options.OnCrash = func() { server.CloseConnections() }
	tt.Target = standin.NewTarget(options)
	server, err := standin.Listen("127.0.0.1:0", tt.Target)
	require.NoError(t, err)
	tt.relay, err = standin.NewRelay(server.Address)
	require.NoError(t, err)
	tt.address = target.Address(tt.relay.Address)
	t.Cleanup(func() {
		tt.Control(standin.TargetControl{Freeze: new(bool)})
		require.NoError(t, tt.client.Stop(context.Background()))
		tt.relay.Close()
		server.Close()
	})
	return tt
}

func (tt *testTarget) advance(d time.Duration) { tt.clock <- (<-tt.clock).Add(d) }

// grant renews the lease for 2 s and grants the slot under a fence.
func (tt *testTarget) grant(t *testing.T, term model.Term, fence model.Fence, excluded ...uint64) target.RenewResponse {
	report := tt.Report()
	response, err := tt.client.Renew(context.Background(), tt.address, target.RenewRequest{
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

func (tt *testTarget) send(change func(*target.Request)) (target.Response, error) {
	request := target.Request{Attempt: "a", Method: http.MethodPost, Path: "/x", Slot: &slot, Fence: 5, KeyHash: 1, Timeout: 10 * time.Second}
	request.Header = http.Header{standin.RequestIDHeader: {"id"}}
	request.Body = []byte("body")
	if change != nil {
		change(&request)
	}
	return tt.client.Do(context.Background(), tt.address, request)
}

func (tt *testTarget) refusal(t *testing.T, change func(*target.Request)) target.RefusalReason {
	response, err := tt.send(change)
	require.NoError(t, err)
	return response.NotRun
}

// Guards against a stand-in that runs requests which a real target refuses, so that tests with it prove nothing.
func TestTargetChecksLeaseFenceTermAndKey(t *testing.T) {
	tt := newTestTarget(t, standin.TargetOptions{ID: "t1"})
	require.Equal(t, target.RefusedNotOwner, tt.refusal(t, nil))
	require.True(t, tt.grant(t, model.Term{Epoch: 3}, 5, 77).Accepted)
	response, err := tt.send(nil)
	require.NoError(t, err)
	require.Empty(t, response.NotRun)
	require.NoError(t, standin.VerifyResponse(response.Body, "id", []byte("body")))
	require.Error(t, standin.VerifyResponse(response.Body, "other", []byte("body")))
	require.Equal(t, target.RefusedNotOwner, tt.refusal(t, func(q *target.Request) { q.Fence = 4 }))
	require.Equal(t, target.RefusedNotOwner, tt.refusal(t, func(q *target.Request) { q.KeyHash = 77 }))
	require.Equal(t, target.RefusedTerm, tt.refusal(t, func(q *target.Request) { q.Term = &model.Term{Epoch: 2, Rank: 9} }))
	require.False(t, tt.grant(t, model.Term{Epoch: 2}, 9).Accepted)
	renewed := tt.grant(t, model.Term{Epoch: 4}, 5)
	require.Equal(t, model.Term{Epoch: 3}, renewed.PreviousTerm)
	require.Equal(t, target.RefusedDeadline, tt.refusal(t, func(q *target.Request) { q.Timeout, q.NotAfter = time.Second, -1 }))
	tt.advance(2 * time.Second)
	require.Equal(t, target.RefusedNotOwner, tt.refusal(t, nil))
	require.Len(t, tt.Runs(), 1)
}

// Guards against a delayed renewal that grants a slot again after it was revoked.
func TestRevokedSlotNeedsAHigherFence(t *testing.T) {
	tt := newTestTarget(t, standin.TargetOptions{})
	term := model.Term{Epoch: 1}
	tt.grant(t, term, 5)
	revoked, err := tt.client.Revoke(context.Background(), tt.address, target.RevokeRequest{Term: term, Slots: []target.SlotFence{{Slot: slot, Fence: 5}}})
	require.NoError(t, err)
	require.True(t, revoked.Accepted)
	tt.grant(t, term, 5)
	require.Equal(t, target.RefusedNotOwner, tt.refusal(t, nil))
	tt.grant(t, term, 6)
	require.Empty(t, tt.refusal(t, func(q *target.Request) { q.Fence = 6 }))
}

// Guards against a target that, after a freeze, accepts a lease from a renewal that waited in its socket.
func TestRenewalReadAfterFreezeDoesNotExtendLease(t *testing.T) {
	tt := newTestTarget(t, standin.TargetOptions{})
	frozen := true
	tt.Control(standin.TargetControl{Freeze: &frozen})
	done := make(chan struct{})
	go func() {
		defer close(done)
		tt.grant(t, model.Term{Epoch: 1}, 5)
	}()
	require.Eventually(t, func() bool { return len(tt.relay.Connections()) == 1 }, 10*time.Second, time.Millisecond)
	tt.advance(3 * time.Second)
	tt.Control(standin.TargetControl{Freeze: new(bool)})
	<-done
	require.Zero(t, tt.Report().LeaseUntil)
	require.Zero(t, tt.Report().Grants)
}

// Guards against a crash that keeps grants or the incarnation, or that sends a response to the request which caused it.
func TestCrashResetsGrantsAndSendsNoResponse(t *testing.T) {
	tt := newTestTarget(t, standin.TargetOptions{})
	before := tt.grant(t, model.Term{Epoch: 1}, 5).Incarnation
	_, err := tt.send(func(q *target.Request) { q.Path = "/x?crash=1" })
	require.True(t, errorx.IsOfType(err, target.ErrBroken), "%v", err)
	require.NotEqual(t, before, tt.Report().Incarnation)
	require.Equal(t, target.RefusedNotOwner, tt.refusal(t, nil))
	require.Equal(t, standin.RunCrashed, tt.Runs()[0].Outcome)
	response, err := tt.client.Renew(context.Background(), tt.address, target.RenewRequest{Incarnation: before, ValidUntil: 1 << 40}, true)
	require.NoError(t, err)
	require.NotEqual(t, before, response.Incarnation)
	require.Zero(t, tt.Report().LeaseUntil)
}

// Guards against an overload during the cold start that is not counted, a full queue that does not shed requests, and a
// canceled request that keeps running.
func TestColdOverloadShedAndCancel(t *testing.T) {
	tt := newTestTarget(t, standin.TargetOptions{Concurrency: 2, Queue: 0, ColdStart: time.Second, ColdInitial: 1, Unchecked: true})
	ctx, cancel := context.WithCancel(context.Background())
	errs := make(chan error, 2)
	for _, id := range []string{"1", "2"} {
		go func() {
			_, err := tt.client.Do(ctx, tt.address, target.Request{Attempt: id, Method: "POST", Path: "/x?work_ms=600000", Timeout: time.Minute})
			errs <- err
		}()
	}
	require.Eventually(t, func() bool { return tt.Report().Running == 2 }, 10*time.Second, time.Millisecond)
	require.Equal(t, 1, tt.Report().Overloads)
	require.Equal(t, target.RefusedShed, tt.refusal(t, nil))
	cancel()
	for range 2 {
		require.True(t, errorx.IsOfType(<-errs, target.ErrTimeout))
	}
	require.Eventually(t, func() bool { return tt.Report().Running == 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, standin.RunCanceled, tt.Runs()[0].Outcome)
}

// Guards against a blocked connection that also blocks new ones, and against a relay that does not stay blocked.
func TestBlockedConnectionDoesNotBlockNewOnes(t *testing.T) {
	tt := newTestTarget(t, standin.TargetOptions{})
	tt.grant(t, model.Term{Epoch: 1}, 5)
	tt.relay.Connections()[0].SetBlocked(true)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := tt.client.Renew(ctx, tt.address, target.RenewRequest{Term: model.Term{Epoch: 1}}, false)
	require.True(t, errorx.IsOfType(err, target.ErrTimeout), "%v", err)
	_, err = tt.client.Renew(context.Background(), tt.address, target.RenewRequest{Term: model.Term{Epoch: 1}}, true)
	require.NoError(t, err)
	require.Empty(t, tt.refusal(t, nil))
}
