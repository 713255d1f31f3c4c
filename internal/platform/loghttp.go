package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// LogHTTPID is the plug-in ID of HTTPLog.
const LogHTTPID kernel.ID = "platform.log.http"

func init() {
	kernel.Register(LogHTTPID, func() any { return &HTTPLog{} })
	kernel.Register(VMListHTTPID, func() any { return &HTTPVMList{} })
}

// URLHost is a host that knows the base URL of all platform services.
type URLHost interface{ PlatformURL() string }

// LogURLHost is a host that knows the base URL of the log service. It takes precedence over URLHost.
type LogURLHost interface{ LogURL() string }

// HTTPLog is the plug-in platform.log.http. Set URL, or provision it with a LogURLHost or URLHost, before use.
type HTTPLog struct {
	// URL is the base URL of the log service.
	URL string
	// Timeout bounds one call, apart from the wait of a read; 0 means 5 s.
	Timeout time.Duration
	// MaxAnswer bounds an answer, in bytes; 0 means 16 MiB.
	MaxAnswer int64

	caller *caller
}

var _ Log = (*HTTPLog)(nil)

// Provision takes the URL from the host if none is set. It returns ErrSettings if there is no usable URL.
func (l *HTTPLog) Provision(host any) error {
	if known, ok := host.(LogURLHost); ok && l.URL == "" {
		l.URL = known.LogURL()
	}
	if known, ok := host.(URLHost); ok && l.URL == "" {
		l.URL = known.PlatformURL()
	}
	if l.Timeout <= 0 {
		l.Timeout = defaultTimeout
	}
	var err error
	l.caller, err = newCaller(l.URL, l.MaxAnswer)
	return err
}

// Stop closes idle connections.
func (l *HTTPLog) Stop(context.Context) error {
	l.caller.close()
	return nil
}

// Append adds one record. It returns ErrUnavailable if the outcome is unknown and ErrRejected if nothing was stored.
func (l *HTTPLog) Append(ctx context.Context, stream record.Stream, data []byte) (model.Offset, error) {
	status, answer, err := l.caller.call(ctx, l.Timeout, http.MethodPost, recordsPath(stream), nil, data)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, statusError(status)
	}
	var reply AppendReply
	if err := decodeJSON(answer, &reply); err != nil {
		return 0, err
	}
	if reply.Offset == 0 {
		return 0, ErrUnavailable.New("append answered without an offset")
	}
	return reply.Offset, nil
}

// Read returns up to limit records from an offset on, as Log describes. It returns ErrUnavailable also for an answer
// whose records are not contiguous from the requested offset.
func (l *HTTPLog) Read(ctx context.Context, stream record.Stream, from model.Offset, limit int, wait time.Duration) (ReadReply, error) {
	query := url.Values{
		"from":    {strconv.FormatUint(uint64(from), 10)},
		"max":     {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	status, answer, err := l.caller.call(ctx, wait+l.Timeout, http.MethodGet, recordsPath(stream), query, nil)
	if err != nil {
		return ReadReply{}, err
	}
	if status != http.StatusOK && status != http.StatusGone {
		return ReadReply{}, statusError(status)
	}
	var reply ReadReply
	if err := decodeJSON(answer, &reply); err != nil {
		return ReadReply{}, err
	}
	if status == http.StatusGone {
		return reply, ErrExpired.New("offset %d of stream %s has expired, oldest is %d", from, stream, reply.Oldest)
	}
	return reply, checkContiguous(reply, from)
}

func checkContiguous(reply ReadReply, from model.Offset) error {
	for i, stored := range reply.Records {
		if want := from + model.Offset(i); stored.Offset != want {
			return ErrUnavailable.New("read answered offset %d in place of %d", stored.Offset, want)
		}
	}
	return nil
}

func recordsPath(stream record.Stream) string {
	return "/v1/streams/" + url.PathEscape(string(stream)) + "/records"
}
