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

// appendTimeout is the time after which the outcome of an append counts as unknown.
const appendTimeout = 2 * time.Second

// effects carries out what the control node asks for. Calls run in goroutines of their own; the node keeps at most one
// renewal and one revocation per target and a bounded number of appends under way.
type effects struct {
	publisher wm.Publisher
	target    target.Client
	peer      peer.Transport
	metrics   *telemetry.Metrics
	log       *logging.Logger
	// withheld returns the part of its normal requests that this VM keeps from a target, in percent.
	withheld func(id model.TargetID) int
	post     func(ctx context.Context, event control.Event)
	running  sync.WaitGroup
}

func (e *effects) carryOut(ctx context.Context, effect control.Effect) {
	switch asked := effect.(type) {
	case control.Append:
		e.spawn(func() { e.append(ctx, asked) })
	case control.Renew:
		e.spawn(func() { e.renew(ctx, asked) })
	case control.Revoke:
		e.spawn(func() { e.revoke(ctx, asked) })
	case control.Send:
		// A message that cannot be sent is lost, as the protocol allows.
		_ = e.peer.Send(asked.To, asked.Message)
	case control.SetPeers:
		e.peer.SetPeers(asked.Peers)
	case control.Notice:
		e.notice(asked)
	}
}

func (e *effects) spawn(work func()) {
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		work()
	}()
}

func (e *effects) append(ctx context.Context, asked control.Append) {
	done := control.AppendDone{ID: asked.Record.ID}
	if data, err := record.Encode(asked.Record); err != nil {
		e.log.Error("A record cannot be encoded.", logging.ErrorType(err))
	} else {
		limited, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		outgoing := wm.NewMessageWithContext(limited, recordName(asked.Record.ID), data)
		done.OK = e.publisher.Publish(string(asked.Stream), outgoing) == nil
	}
	e.post(ctx, done)
}

func (e *effects) renew(ctx context.Context, asked control.Renew) {
	limited, cancel := context.WithTimeout(ctx, lease.RenewTimeout)
	defer cancel()
	done := control.RenewDone{Target: asked.Target, Sequence: asked.Sequence, Withheld: e.withheld(asked.Target)}
	reply, err := e.target.Renew(limited, asked.Address, asked.Request, asked.Fresh)
	switch {
	case err != nil:
		e.metrics.LeaseRenewal(telemetry.RenewalNoResponse)
	case !reply.Accepted:
		e.metrics.LeaseRenewal(telemetry.RenewalRefused)
		done.Reply = &reply
	default:
		e.metrics.LeaseRenewal(telemetry.RenewalAccepted)
		done.Reply = &reply
	}
	e.post(ctx, done)
}

func (e *effects) revoke(ctx context.Context, asked control.Revoke) {
	limited, cancel := context.WithTimeout(ctx, lease.RenewTimeout)
	defer cancel()
	done := control.RevokeDone{Target: asked.Target, Sequence: asked.Sequence}
	if reply, err := e.target.Revoke(limited, asked.Address, asked.Request); err == nil {
		done.Reply = &reply
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
		e.log.Warn("Acting as lessor.", fields...)
	case control.NoticeLogDown:
		e.metrics.LogAvailable(false)
		e.log.Error("The log does not answer.", fields...)
	case control.NoticeLogUp:
		e.metrics.LogAvailable(true)
		e.log.Info("The log answers.", fields...)
	default:
		e.log.Info(notice.Kind.LogMessage(), fields...)
	}
}
