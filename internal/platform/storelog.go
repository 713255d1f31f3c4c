package platform

import (
	"context"
	"net/url"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	wire "github.com/tarragonpoint/tarragonpoint/platform"
)

const (
	// LogHTTPID is the plug-in ID of StoreLog.
	LogHTTPID kernel.ID = "platform.log.http"
	// topicPrefix is the prefix of the topic names of streams.
	topicPrefix = "tarragonpoint."
	// firstOffset is the offset of the first record of a stream. The store numbers records from 0.
	firstOffset = 1
)

func init() {
	kernel.Register(LogHTTPID, func() any { return &StoreLog{} })
	kernel.Register(VMListHTTPID, func() any { return &StoreVMList{} })
}

// URLHost is a host that provides the base URL of all platform services.
type URLHost interface{ PlatformURL() string }

// LogURLHost is a host that provides the base URL of the log service. It takes precedence over URLHost.
type LogURLHost interface{ LogURL() string }

// Topic returns the name of the store's topic for a stream.
func Topic(stream record.Stream) string { return topicPrefix + string(stream) }

// StoreLog is the plug-in platform.log.http. Each stream is a topic of the platform's store. Set URL, or provision it
// with a LogURLHost or URLHost, before use.
type StoreLog struct {
	// URL is the base URL of the store.
	URL string

	store *wire.Store
}

var _ Log = (*StoreLog)(nil)

// Provision takes the URL from the host if none is set. It returns ErrSettings if there is no valid URL.
func (l *StoreLog) Provision(host any) error {
	if known, ok := host.(LogURLHost); ok && l.URL == "" {
		l.URL = known.LogURL()
	}
	if known, ok := host.(URLHost); ok && l.URL == "" {
		l.URL = known.PlatformURL()
	}
	var err error
	l.store, err = newStore(l.URL)
	return err
}

// newStore returns a store client for a base URL. It returns ErrSettings if the URL is not an absolute HTTP URL.
func newStore(base string) (*wire.Store, error) {
	parsed, err := url.Parse(base)
	if err != nil {
		return nil, ErrSettings.Wrap(err, "platform URL is malformed")
	}
	if parsed.Host == "" || parsed.Scheme != "http" {
		return nil, ErrSettings.New("platform URL %q is not an absolute HTTP URL", base)
	}
	return wire.NewStore(parsed.Host), nil
}

// Append appends one record and returns its offset. It returns ErrUnavailable if the outcome is unknown and ErrRejected
// if nothing was stored.
func (l *StoreLog) Append(ctx context.Context, stream record.Stream, data []byte) (model.Offset, error) {
	offset, err := l.store.AppendLog(ctx, Topic(stream), data)
	if err != nil {
		return 0, storeError(err)
	}
	return model.Offset(offset + firstOffset), nil
}

// Read returns up to limit records from an offset on, as Log describes.
func (l *StoreLog) Read(ctx context.Context, stream record.Stream, from model.Offset, limit int, wait time.Duration) (ReadReply, error) {
	page, err := l.store.ReadLog(ctx, Topic(stream), uint64(max(from, firstOffset))-firstOffset, wait)
	reply := ReadReply{Oldest: model.Offset(page.First + firstOffset), End: model.Offset(page.End + firstOffset)}
	if err != nil {
		return reply, storeError(err)
	}
	for i, data := range page.Records[:min(limit, len(page.Records))] {
		reply.Records = append(reply.Records, StoredRecord{Offset: max(from, firstOffset) + model.Offset(i), Data: data})
	}
	return reply, nil
}

// storeError translates errors of the store's client. Only a rejected call is certain to have stored nothing, so all
// errors except rejections and expired offsets become ErrUnavailable, with an unknown outcome.
func storeError(err error) error {
	switch {
	case errorx.IsOfType(err, wire.ErrExpired):
		return ErrExpired.Wrap(err, "offset has expired")
	case errorx.IsOfType(err, wire.ErrRejected), errorx.IsOfType(err, wire.ErrConflict), errorx.IsOfType(err, wire.ErrFenced):
		return ErrRejected.Wrap(err, "store rejected the call")
	}
	return ErrUnavailable.Wrap(err, "call to the store failed")
}
