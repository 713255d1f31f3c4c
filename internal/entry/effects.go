package entry

import (
	"context"
	"sync"
	"time"

	wm "github.com/ThreeDotsLabs/watermill/message"

	"github.com/tarragonpoint/tarragonpoint/internal/control"
	"github.com/tarragonpoint/tarragonpoint/internal/lease"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/peer"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
	"github.com/tarragonpoint/tarragonpoint/internal/telemetry"
)

// appendTimeout is the time after which the outcome of an append is treated as unknown.
const appendTimeout = 2 * time.Second

// effects executes the effects that the control node returns. Calls run in goroutines of their own; the node keeps at
// most one renewal and one revocation per target and a bounded number of appends in flight.
type effects struct {
	publisher wm.Publisher
	target    target.Client
	peer      peer.Transport
	metrics   *telemetry.Metrics
	log       *logging.Logger
	// withheld returns the share of its normal requests that this VM withholds from a target, in percent.
	withheld func(id model.TargetID) int
	post     func(ctx context.Context, event control.Event)
	// running counts the calls in flight.
	running sync.WaitGroup
}

func (e *effects) execute(ctx context.Context, effect control.Effect) {
	switch typed := effect.(type) {
	case control.Append:
		e.spawn(func() { e.append(ctx, typed) })
	case control.Renew:
		e.spawn(func() { e.renew(ctx, typed) })
	case control.Revoke:
		e.spawn(func() { e.revoke(ctx, typed) })
	case control.Send:
		// A message that cannot be sent is dropped; the protocol tolerates the loss of messages.
		_ = e.peer.Send(typed.To, typed.Message)
	case control.SetPeers:
		e.peer.SetPeers(typed.Peers)
	case control.Notice:
		e.notice(typed)
	}
}

func (e *effects) spawn(work func()) {
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		work()
	}()
}

func (e *effects) append(ctx context.Context, effect control.Append) {
	done := control.AppendDone{Stream: effect.Stream, ID: effect.Record.ID}
	if data, err := record.Encode(effect.Record); err != nil {
		e.log.Error("A record cannot be encoded and is not appended.", logging.ErrorType(err))
	} else {
		timeoutCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		outgoing := wm.NewMessageWithContext(timeoutCtx, messageID(effect.Record.ID), data)
		done.OK = e.publisher.Publish(string(effect.Stream), outgoing) == nil
	}
	e.post(ctx, done)
}

func (e *effects) renew(ctx context.Context, effect control.Renew) {
	timeoutCtx, cancel := context.WithTimeout(ctx, lease.RenewTimeout)
	defer cancel()
	done := control.RenewDone{Target: effect.Target, Sequence: effect.Sequence, Withheld: e.withheld(effect.Target)}
	response, err := e.target.Renew(timeoutCtx, effect.Address, effect.Request, effect.Fresh)
	switch {
	case err != nil:
		e.metrics.LeaseRenewal(telemetry.RenewalNoResponse)
	case !response.Accepted:
		e.metrics.LeaseRenewal(telemetry.RenewalRefused)
		done.Response = &response
	default:
		e.metrics.LeaseRenewal(telemetry.RenewalAccepted)
		done.Response = &response
	}
	e.post(ctx, done)
}

func (e *effects) revoke(ctx context.Context, effect control.Revoke) {
	timeoutCtx, cancel := context.WithTimeout(ctx, lease.RenewTimeout)
	defer cancel()
	done := control.RevokeDone{Target: effect.Target, Sequence: effect.Sequence}
	if response, err := e.target.Revoke(timeoutCtx, effect.Address, effect.Request); err == nil {
		done.Response = &response
	}
	e.post(ctx, done)
}

func (e *effects) notice(notice control.Notice) {
	fields := []logging.Field{}
	if notice.Target != "" {
		fields = append(fields, logging.TargetID(notice.Target))
	}
	if notice.VM != "" {
		fields = append(fields, logging.VM(notice.VM))
	}
	if notice.Count > 0 {
		fields = append(fields, logging.Count(notice.Count))
	}
	switch notice.Kind {
	case control.NoticeTakeover:
		e.metrics.Takeover(notice.Evidence, notice.Count)
		e.log.Warn("Slots were taken over.", fields...)
	case control.NoticeActingAsLessor:
		e.metrics.LessorChange()
		e.log.Warn("This VM became the lessor of a target in place of another VM.", fields...)
	case control.NoticeLogDown:
		e.metrics.LogAvailable(false)
		e.log.Error("The log is unavailable.", fields...)
	case control.NoticeLogUp:
		e.metrics.LogAvailable(true)
		e.log.Info("The log is available.", fields...)
	default:
		e.log.Info(notice.Kind.LogMessage(), fields...)
	}
}
