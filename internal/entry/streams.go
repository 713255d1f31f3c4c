package entry

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	wm "github.com/ThreeDotsLabs/watermill/message"
	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/control"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

const (
	// longPollTimeout is the maximum duration of a long poll. It limits the time until an outage of the log is
	// detected.
	longPollTimeout = time.Second
	// routerCloseTimeout limits the time in which the handlers end on a stop.
	routerCloseTimeout = 2 * time.Second
)

// newStreamRouter returns a watermill router whose handlers post the log's records to the control loop. It records the
// result of the first read in firstRead.
func newStreamRouter(ctx context.Context, log platform.Log, l *loop, firstRead *availability,
	logger *logging.Logger) (*wm.Router, error) {
	router, err := wm.NewRouter(wm.RouterConfig{CloseTimeout: routerCloseTimeout}, watermill.NopLogger{})
	if err != nil {
		return nil, fmt.Errorf("the stream router cannot be created: %w", err)
	}
	var firstCall sync.Once
	subscriber := &platform.Subscriber{
		Log:  log,
		From: l.nextOffset,
		Wait: longPollTimeout,
		Observe: func(stream record.Stream, reply platform.ReadReply, err error) {
			if ctx.Err() == nil && !errorx.IsOfType(err, platform.ErrExpired) {
				firstCall.Do(func() { firstRead.record(err) })
			}
			if err != nil {
				l.post(ctx, control.LogDown{Stream: stream})
				return
			}
			l.post(ctx, control.LogRead{Stream: stream, End: reply.End})
		},
	}
	for _, stream := range []record.Stream{record.ConfigStream, record.AssignStream} {
		router.AddConsumerHandler("fold "+string(stream), string(stream), subscriber, foldHandler(ctx, stream, l, logger))
	}
	return router, nil
}

// foldHandler returns a handler that posts each record to the control loop. A record that cannot be decoded is replaced
// by one without effect, so that all VMs stay at the same offsets.
func foldHandler(ctx context.Context, stream record.Stream, l *loop, logger *logging.Logger) wm.NoPublishHandlerFunc {
	return func(received *wm.Message) error {
		offset, err := strconv.ParseUint(received.Metadata.Get(platform.MetadataOffset), 10, 64)
		if err != nil {
			return fmt.Errorf("the offset of a record cannot be parsed: %w", err)
		}
		decoded, err := record.Decode(received.Payload)
		if err != nil {
			logger.Warn("A record cannot be decoded and has no effect.", logging.Offset(model.Offset(offset)))
			decoded = record.Record{}
		}
		l.post(ctx, control.LogRead{
			Stream:  stream,
			Entries: []record.Entry{{Offset: model.Offset(offset), Record: decoded}},
		})
		return nil
	}
}

// pollVMList reads the VM list every vmListInterval until ctx ends. It logs each registration that cannot be decoded
// once.
func pollVMList(ctx context.Context, list platform.VMList, l *loop, health *availability, logger *logging.Logger) {
	ticker := time.NewTicker(vmListInterval)
	defer ticker.Stop()
	warned := map[string]bool{}
	for {
		timeoutCtx, cancel := context.WithTimeout(ctx, vmListTimeout)
		reply, err := list.List(timeoutCtx)
		cancel()
		if ctx.Err() == nil {
			health.record(err)
		}
		if err == nil {
			for _, name := range reply.Damaged {
				if !warned[name] {
					warned[name] = true
					logger.Warn("A VM registration cannot be decoded and is ignored.", logging.Name(name))
				}
			}
			l.post(ctx, control.VMListRead{List: reply})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

const (
	// vmListInterval is the time between two reads of the VM list. A read transfers about 63 bytes for each VM, so that
	// a shorter interval costs more than all heartbeats of a small deployment. A VM counts as terminated after two
	// reads without it.
	vmListInterval = 2 * time.Second
	// vmListTimeout limits one read, and with it the time until an outage of the list is detected.
	vmListTimeout = time.Second
)

// messageID returns the watermill message ID of a record.
func messageID(id record.ID) string { return fmt.Sprintf("%x", id[:]) }
