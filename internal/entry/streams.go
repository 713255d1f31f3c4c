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
	// logWait is the length of a long poll. It bounds the time until an outage of the log is noticed.
	logWait = time.Second
	// routerCloseTimeout bounds the end of the handlers on a stop.
	routerCloseTimeout = 2 * time.Second
)

// newStreamRouter returns a watermill router whose handlers feed the log's records to the control loop.
func newStreamRouter(ctx context.Context, log platform.Log, l *loop, first *outage, logger *logging.Logger) (*wm.Router, error) {
	router, err := wm.NewRouter(wm.RouterConfig{CloseTimeout: routerCloseTimeout}, watermill.NopLogger{})
	if err != nil {
		return nil, fmt.Errorf("stream router: %w", err)
	}
	var firstCall sync.Once
	subscriber := &platform.Subscriber{
		Log:  log,
		From: l.nextOffset,
		Wait: logWait,
		Observe: func(stream record.Stream, reply platform.ReadReply, err error) {
			if ctx.Err() == nil && !errorx.IsOfType(err, platform.ErrExpired) {
				firstCall.Do(func() { first.note(err) })
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

// foldHandler posts one record to the control loop. A record that cannot be decoded is folded as one without effect, so
// that all VMs stay at the same offsets.
func foldHandler(ctx context.Context, stream record.Stream, l *loop, logger *logging.Logger) wm.NoPublishHandlerFunc {
	return func(received *wm.Message) error {
		offset, err := strconv.ParseUint(received.Metadata.Get(platform.MetadataOffset), 10, 64)
		if err != nil {
			return fmt.Errorf("offset of a record: %w", err)
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

// pollVMList reads the VM list until ctx ends.
func pollVMList(ctx context.Context, list platform.VMList, l *loop, health *outage, logger *logging.Logger) {
	ticker := time.NewTicker(vmListInterval)
	defer ticker.Stop()
	warned := map[string]bool{}
	for {
		limited, cancel := context.WithTimeout(ctx, vmListTimeout)
		reply, err := list.List(limited)
		cancel()
		if ctx.Err() == nil {
			health.note(err)
		}
		if err == nil {
			for _, name := range reply.Damaged {
				if !warned[name] {
					warned[name] = true
					logger.Warn("A registration cannot be read and names no VM.", logging.Name(name))
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
	// vmListInterval is the time between two readings of the VM list. A reading has about 63 bytes for each VM, so that a
	// shorter interval costs more than all heartbeats of a small deployment. A VM counts as gone after two readings.
	vmListInterval = 2 * time.Second
	// vmListTimeout bounds one reading. It bounds the time until an outage of the list is noticed.
	vmListTimeout = time.Second
)

func recordName(id record.ID) string { return fmt.Sprintf("%x", id[:]) }
