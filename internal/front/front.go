package front

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/joomcode/errorx"
	"golang.org/x/sync/semaphore"

	"github.com/tarragonpoint/tarragonpoint/internal/callerconn"
	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// HTTPID is the ID under which the plug-in is registered.
const HTTPID kernel.ID = "front.http"

func init() {
	kernel.Register(HTTPID, func() any { return &Front{} })
}

// Front serves callers and operators over HTTP on two listeners.
type Front struct {
	settings Settings
	memory   *semaphore.Weighted
	draining atomic.Bool
	// delayed makes only the first Stop wait for the drain delay: the entry role stops the front once before the other
	// plug-ins and once with them.
	delayed sync.Once
	callers endpoint
	admin   endpoint
}

// endpoint is a listener and the HTTP server that uses it.
type endpoint struct {
	listener    net.Listener
	server      *http.Server
	connections callerconn.Tracker
	running     sync.WaitGroup
}

// New returns a front for use without a kernel host. It returns ErrSettings if the settings are invalid.
func New(settings Settings) (*Front, error) {
	f := &Front{}
	f.configure(settings)
	return f, f.Validate()
}

// Provision reads the settings from the host. It returns ErrSettings if the host does not implement Host.
func (f *Front) Provision(host any) error {
	provider, ok := host.(Host)
	if !ok {
		return ErrSettings.New("the host provides no settings for the front")
	}
	f.configure(provider.FrontSettings())
	return nil
}

func (f *Front) configure(settings Settings) {
	settings.setDefaults()
	f.settings = settings
	f.memory = semaphore.NewWeighted(settings.MaxBufferedBytes)
}

// Validate returns ErrSettings if settings are missing or invalid.
func (f *Front) Validate() error { return f.settings.validate() }

// Start listens on both addresses and serves them in the background. It returns ErrListen if listening on one fails.
func (f *Front) Start(context.Context) error {
	callers, err := net.Listen("tcp", f.settings.Listen)
	if err != nil {
		return ErrListen.Wrap(err, "cannot listen on %s for callers (-listen-callers)", f.settings.Listen)
	}
	admin, err := net.Listen("tcp", f.settings.AdminListen)
	if err != nil {
		callers.Close()
		return ErrListen.Wrap(err, "cannot listen on %s for operators (-listen-admin)", f.settings.AdminListen)
	}
	f.callers.start(newLimitedListener(callers, f.settings.MaxConnections), f.newServer(f.callerRoutes()))
	f.admin.start(admin, f.newServer(f.adminRoutes()))
	return nil
}

// newServer sets no WriteTimeout, as that would include the time that the target needs; writeResponse sets a write
// deadline instead.
func (f *Front) newServer(routes http.Handler) *http.Server {
	return &http.Server{
		Handler:           routes,
		ReadHeaderTimeout: f.settings.ReadHeaderTimeout,
		IdleTimeout:       f.settings.IdleTimeout,
		MaxHeaderBytes:    headerSlack * f.settings.MaxHeaderBytes,
		ConnContext:       callerconn.WithConn,
		// Discarded because net/http quotes received data in its log lines.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

func (f *Front) callerRoutes() http.Handler {
	routes := chi.NewRouter()
	f.addHealth(routes)
	routes.Handle("/v1/{service}/*", http.HandlerFunc(f.serveRequest))
	routes.NotFound(f.serveNotFound)
	routes.MethodNotAllowed(f.serveNotFound)
	return routes
}

func (f *Front) adminRoutes() http.Handler {
	routes := chi.NewRouter()
	f.addHealth(routes)
	if f.settings.Metrics != nil {
		routes.Method(http.MethodGet, "/metrics", f.settings.Metrics)
	}
	if f.settings.Admin != nil {
		routes.Mount("/admin", f.settings.Admin)
	}
	return routes
}

func (f *Front) addHealth(routes chi.Router) {
	routes.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	routes.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if f.draining.Load() || !f.settings.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// serveNotFound rejects requests whose path or method the API does not define.
func (f *Front) serveNotFound(w http.ResponseWriter, r *http.Request) {
	e := f.newExchange(w, r)
	e.respond(errorResponse(result.BadRequest, parsedRequest{}, false), "no such path or method")
	e.discardBody()
}

// Address returns the address for callers, host:port.
func (f *Front) Address() string { return f.callers.listener.Addr().String() }

// AdminAddress returns the address for operators, host:port.
func (f *Front) AdminAddress() string { return f.admin.listener.Addr().String() }

// Drain makes /readyz report 503 and closes each connection after its next response. Requests are still served. Idle
// connections stay open until Stop, because a request may already be in flight on them.
func (f *Front) Drain() { f.draining.Store(true) }

// Stop drains, waits for the drain delay, stops listening and waits for running requests. If ctx ends first, it closes
// the remaining connections and returns ErrDrain.
func (f *Front) Stop(ctx context.Context) error {
	f.Drain()
	f.delayed.Do(func() { f.waitDrainDelay(ctx) })
	err := f.callers.stop(ctx)
	return errorx.DecorateMany("stop", err, f.admin.stop(ctx))
}

// waitDrainDelay waits for the drain delay or until ctx ends.
func (f *Front) waitDrainDelay(ctx context.Context) {
	delay := time.NewTimer(f.settings.DrainDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done():
	}
}

func (e *endpoint) start(listener net.Listener, server *http.Server) {
	e.listener = listener
	e.server = server
	server.ConnState = e.connections.Track
	e.running.Go(func() { server.Serve(e.connections.Listener(listener)) })
}

func (e *endpoint) stop(ctx context.Context) error {
	if e.server == nil {
		return nil
	}
	_, err := e.connections.Shutdown(ctx, e.server)
	if err != nil {
		e.server.Close()
		err = ErrDrain.Wrap(err, "requests were still running")
	}
	e.running.Wait()
	return err
}

func errorIs(err error, kind *errorx.Type) bool { return errorx.IsOfType(err, kind) }
