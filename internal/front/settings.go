// Package front serves the caller API over HTTP and the operators' endpoints on the admin listener.
//
//	ANY /v1/{service}/*     a caller's request; see section 6 of the design page
//	GET /healthz            200 while the process is alive (both listeners)
//	GET /readyz             200 while the VM takes new requests, otherwise 503 (both listeners)
//	GET /metrics            metrics (admin listener)
//	ANY /admin/*            the injected admin handler (admin listener)
package front

import (
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/dispatch"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

var (
	errNamespace = errorx.NewNamespace("front")
	// ErrSettings reports settings that are missing or wrong.
	ErrSettings = errNamespace.NewType("settings")
	// ErrListen reports an address that cannot be listened on.
	ErrListen = errNamespace.NewType("listen")
	// ErrDrain reports requests that were still running when the time for the drain was over.
	ErrDrain = errNamespace.NewType("drain")
)

// Defaults of the settings.
const (
	defaultMaxHeaderBytes    = 32 << 10
	defaultMaxBodyBytes      = 7 << 20
	defaultMaxBufferedBytes  = 256 << 20
	defaultMaxConnections    = 4096
	defaultReadHeaderTimeout = 5 * time.Second
	defaultBodyTimeout       = 30 * time.Second
	defaultWriteTimeout      = 30 * time.Second
	defaultIdleTimeout       = 75 * time.Second
	defaultRequestTimeout    = 10 * time.Minute
)

// maxForwardedBytes is the largest body that fits into a message between entry VMs (8 MiB) together with its headers.
const maxForwardedBytes = 7 << 20

// Settings configure the plug-in. Zero limits and times stand for the defaults.
type Settings struct {
	// Listen and AdminListen are the addresses for callers and operators, host:port.
	Listen      string
	AdminListen string
	// Handler serves callers' requests.
	Handler dispatch.Handler
	// Ready says whether the VM may serve; /readyz is 503 while it returns false.
	Ready func() bool
	// Metrics serves /metrics and Admin serves /admin; nil leaves them out.
	Metrics http.Handler
	Admin   http.Handler
	// OnCompleted is called after each answer; nil ignores it. It must not block.
	OnCompleted func(done CompletedRequest)
	// Log receives the lines of this part; nil discards them.
	Log *logging.Logger
	// MaxHeaderBytes and MaxBodyBytes limit one request, in bytes. A header above headerSlack times the limit is refused by
	// net/http with status 431 and without a result code.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// MaxBufferedBytes limits the request bodies in memory at a time, in bytes.
	MaxBufferedBytes int64
	// MaxConnections limits the callers' connections; further ones wait in the kernel's queue.
	MaxConnections int
	// ReadHeaderTimeout, BodyTimeout, WriteTimeout and IdleTimeout bound what a slow caller can hold.
	ReadHeaderTimeout time.Duration
	BodyTimeout       time.Duration
	WriteTimeout      time.Duration
	IdleTimeout       time.Duration
	// RequestTimeout limits a request whatever its deadline.
	RequestTimeout time.Duration
	// DrainDelay is the time in which a stopping VM reports that it is not ready but still takes requests, so that the balancer
	// notices before connections are refused.
	DrainDelay time.Duration
}

// CompletedRequest describes an answered request.
type CompletedRequest struct {
	Preview  dispatch.Preview
	Code     result.Code
	Outcome  result.Outcome
	Duration time.Duration
}

// Host is implemented by hosts that provision the plug-in.
type Host interface {
	FrontSettings() Settings
}

func orDefault[T int | int64 | time.Duration](value *T, standard T) {
	if *value == 0 {
		*value = standard
	}
}

func (s *Settings) setDefaults() {
	orDefault(&s.MaxHeaderBytes, defaultMaxHeaderBytes)
	orDefault(&s.MaxBodyBytes, defaultMaxBodyBytes)
	orDefault(&s.MaxBufferedBytes, defaultMaxBufferedBytes)
	orDefault(&s.MaxConnections, defaultMaxConnections)
	orDefault(&s.ReadHeaderTimeout, defaultReadHeaderTimeout)
	orDefault(&s.BodyTimeout, defaultBodyTimeout)
	orDefault(&s.WriteTimeout, defaultWriteTimeout)
	orDefault(&s.IdleTimeout, defaultIdleTimeout)
	orDefault(&s.RequestTimeout, defaultRequestTimeout)
	if s.Log == nil {
		s.Log = logging.Discard().Part(logging.Front)
	}
	if s.OnCompleted == nil {
		s.OnCompleted = func(CompletedRequest) {}
	}
	if s.Ready == nil {
		s.Ready = func() bool { return true }
	}
}

func (s *Settings) validate() error {
	switch {
	case s.Listen == "" || s.AdminListen == "":
		return ErrSettings.New("an address to listen on is missing")
	case s.Handler == nil:
		return ErrSettings.New("no handler for requests")
	case s.MaxHeaderBytes < 0 || s.MaxConnections < 0 || s.MaxBodyBytes < 0:
		return ErrSettings.New("negative limit")
	case s.MaxBodyBytes > maxForwardedBytes:
		return ErrSettings.New("bodies of %d bytes cannot be forwarded, want at most %d", s.MaxBodyBytes, maxForwardedBytes)
	case s.MaxBufferedBytes < s.MaxBodyBytes:
		return ErrSettings.New("%d bytes for all bodies cannot hold one of %d", s.MaxBufferedBytes, s.MaxBodyBytes)
	case min(s.ReadHeaderTimeout, s.BodyTimeout, s.WriteTimeout, s.IdleTimeout, s.RequestTimeout, s.DrainDelay) < 0:
		return ErrSettings.New("negative time")
	}
	return nil
}
