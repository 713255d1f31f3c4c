// Package front serves the caller API over HTTP and the operators' endpoints on the admin listener.
//
//	ANY /v1/{service}/*     a caller's request (caller listener)
//	GET /healthz            200 while the process is alive (both listeners)
//	GET /readyz             200 while the VM accepts new requests, otherwise 503 (both listeners)
//	GET /metrics            metrics (admin listener)
//	ANY /admin/*            the admin handler of the settings (admin listener)
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
	// ErrSettings reports settings that are missing or invalid.
	ErrSettings = errNamespace.NewType("settings")
	// ErrListen reports that listening on an address failed.
	ErrListen = errNamespace.NewType("listen")
	// ErrDrain reports requests that were still running when the drain time ended.
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

// maxForwardableBytes is the largest body that fits into a message between entry VMs (8 MiB) together with its headers.
const maxForwardableBytes = 7 << 20

// Settings configure the plug-in. A limit or timeout of 0 selects its default.
type Settings struct {
	// Listen and AdminListen are the addresses for callers and operators, host:port.
	Listen      string
	AdminListen string
	// Handler serves callers' requests.
	Handler dispatch.Handler
	// Ready reports whether the VM may serve; /readyz responds with 503 while it returns false. nil means always ready.
	Ready func() bool
	// Metrics serves /metrics and Admin serves /admin; nil omits the endpoint.
	Metrics http.Handler
	Admin   http.Handler
	// OnCompleted is called after each response unless it is nil. It must not block.
	OnCompleted func(completed CompletedRequest)
	// Log receives the log lines of the front; nil discards them.
	Log *logging.Logger
	// MaxHeaderBytes and MaxBodyBytes limit one request, in bytes. A header above headerSlack times the limit is
	// rejected by net/http with status 431 and without a result code.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// MaxBufferedBytes limits the memory for all request bodies together, in bytes.
	MaxBufferedBytes int64
	// MaxConnections limits the callers' connections; further ones wait in the operating system's accept queue.
	MaxConnections int
	// ReadHeaderTimeout, BodyTimeout, WriteTimeout and IdleTimeout limit how long a slow caller can hold
	// a connection and memory.
	ReadHeaderTimeout time.Duration
	BodyTimeout       time.Duration
	WriteTimeout      time.Duration
	IdleTimeout       time.Duration
	// RequestTimeout limits the duration of every request, also of one with a later deadline.
	RequestTimeout time.Duration
	// DrainDelay is the time for which a stopping VM reports that it is not ready but still accepts requests, so that
	// the load balancer stops sending to it before connections are refused.
	DrainDelay time.Duration
}

// CompletedRequest describes a request whose response has been written.
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

func orDefault[T int | int64 | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
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
		return ErrSettings.New("a listen address is missing")
	case s.Handler == nil:
		return ErrSettings.New("the request handler is missing")
	case s.MaxHeaderBytes < 0 || s.MaxConnections < 0 || s.MaxBodyBytes < 0:
		return ErrSettings.New("a limit is negative")
	case s.MaxBodyBytes > maxForwardableBytes:
		return ErrSettings.New("bodies of %d bytes cannot be forwarded, want at most %d", s.MaxBodyBytes, maxForwardableBytes)
	case s.MaxBufferedBytes < s.MaxBodyBytes:
		return ErrSettings.New("the memory of %d bytes for all bodies is less than the limit of %d bytes for one body",
			s.MaxBufferedBytes, s.MaxBodyBytes)
	case min(s.ReadHeaderTimeout, s.BodyTimeout, s.WriteTimeout, s.IdleTimeout, s.RequestTimeout, s.DrainDelay) < 0:
		return ErrSettings.New("a timeout or delay is negative")
	}
	return nil
}
