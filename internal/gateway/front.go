package gateway

import (
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/bounds"
	"github.com/tarragonpoint/tarragonpoint/internal/callerconn"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

const (
	// defaultDeadline applies to requests without a deadline.
	defaultDeadline = 10 * time.Second
	// defaultBodyLimit is the body limit in bytes until a configuration that sets one has been read.
	defaultBodyLimit = 1 << 20
	// serverHeaderLimit is the limit of a request header in bytes. The configuration's limit is not applied.
	serverHeaderLimit = 64 << 10
	// bodyRetryAfter is the retry delay sent to the caller of a request for whose body there is no memory. Other large
	// requests end within about that time.
	bodyRetryAfter = time.Second
	// headerTimeout bounds the time to read a header. Configurations set about 3 s.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept. It must exceed the configuration's limit, because
	// callers keep connections idle for up to four fifths of that limit.
	idleTimeout = 60 * time.Second
	// internalIdleTimeout is the same for connections of the deployment itself, which come back at least every few seconds.
	internalIdleTimeout = 30 * time.Second
)

// ServeHTTP serves one request of a caller.
func (g *gateway) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	caller, stopWatch := watchCaller(request.Context(), g.clock.Now)
	j := &job{arrived: g.clock.Now(), request: request, caller: caller, uri: requestURI(request)}
	j.isUnread = request.ContentLength != 0
	j.path, _, _ = strings.Cut(j.uri, "?")
	callerHeaders, err := platform.ParseCallerHeaders(request.Header)
	j.callerHeaders = callerHeaders
	response := callerResponse{}
	if err != nil {
		response = g.rejectMalformed(j, err)
	} else if !callerconn.AdmitHead(request.Context(), request.Header) {
		response = reject(result.Overloaded, "no memory for the head", bodyRetryAfter)
	} else {
		j.deadline = j.arrived.Add(deadlineOf(callerHeaders))
		response = g.serve(w, j)
	}
	stopWatch()
	if j.isUnread {
		callerconn.PrepareEarly(w, request)
	}
	err = g.write(w, j, response)
	response.targetResponse.Release()
	j.bodyMemory.Release()
	g.finish(j, response)
	if errors.Is(err, os.ErrDeadlineExceeded) || j.isUnread && !callerconn.DiscardBody(w, request, g.discardTimeout()) {
		// Otherwise the server would keep the connection for the caller's next request.
		panic(http.ErrAbortHandler)
	}
}

// rejectMalformed returns the rejection of a request with malformed platform headers.
func (g *gateway) rejectMalformed(j *job, err error) callerResponse {
	if config := g.state.config.Load(); config != nil {
		if rejected, ok := j.authenticate(config, config.Route(j.request.Host, j.path)); !ok {
			return rejected
		}
	}
	return reject(result.BadRequest, err.Error(), 0)
}

func deadlineOf(callerHeaders platform.CallerHeaders) time.Duration {
	if callerHeaders.Timeout <= 0 {
		return defaultDeadline
	}
	return callerHeaders.Timeout
}

func requestURI(request *http.Request) string {
	if strings.HasPrefix(request.RequestURI, "/") {
		return request.RequestURI
	}
	return request.URL.RequestURI()
}

func (g *gateway) serve(w http.ResponseWriter, j *job) callerResponse {
	if rejected, ok := g.resolve(j); !ok {
		return rejected
	}
	if rejected, ok := g.checkQuota(j); !ok {
		return rejected
	}
	if rejected, ok := g.readBody(w, j); !ok {
		return rejected
	}
	return g.dispatch(j.request.Context(), j)
}

// readBody reads the whole body, so that an attempt can be repeated and a disconnected caller is detected.
func (g *gateway) readBody(w http.ResponseWriter, j *job) (callerResponse, bool) {
	limit := int64(defaultBodyLimit)
	if config := g.state.config.Load(); config != nil && config.Limits.BodyBytes > 0 {
		limit = config.Limits.BodyBytes
	}
	if j.request.ContentLength == 0 {
		return callerResponse{}, true
	}
	if j.request.ContentLength > limit {
		return reject(result.BodyTooLarge, "body exceeds the limit", 0), false
	}
	body := http.MaxBytesReader(w, j.request.Body, limit)
	control := http.NewResponseController(w)
	// The caller does not wait beyond its deadline, so a body that is incomplete then only holds memory. An error means that the
	// connection has ended, which the read reports too.
	_ = control.SetReadDeadline(time.Now().Add(min(g.settings.BodyTimeout, j.timeLeft(g.clock.Now()))))
	received := callerconn.ReceivingBody(j.request.Context())
	read, reserved, err := g.readAll(body, j.request.ContentLength)
	received()
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		rejected := reject(result.BodyTimeout, "body was not received in time", 0)
		rejected.err = err
		return rejected, false
	case errors.As(err, &tooLarge):
		return reject(result.BodyTooLarge, "body exceeds the limit", 0), false
	case errors.Is(err, bounds.ErrTooLong):
		rejected := reject(result.Overloaded, "no memory for the body", bodyRetryAfter)
		rejected.err = err
		return rejected, false
	case err != nil:
		rejected := reject(result.BadRequest, "body is incomplete", 0)
		rejected.err = err
		return rejected, false
	}
	j.body, j.bodyMemory, j.isUnread = read, reserved, false
	return callerResponse{}, true
}

// discardTimeout returns the time to read the rest of a rejected request's body. It ends before this VM stops.
func (g *gateway) discardTimeout() time.Duration {
	if end, stopping := g.lastDeadline(); stopping {
		return min(callerconn.DiscardTimeout, end.Sub(g.clock.Now()))
	}
	return callerconn.DiscardTimeout
}

func (g *gateway) readAll(body io.Reader, length int64) ([]byte, *bounds.Reservation, error) {
	if length > 0 {
		return g.callerBodies.ReadSized(body, length)
	}
	return g.callerBodies.ReadAll(body)
}

// write sends the response to the caller. It returns os.ErrDeadlineExceeded if the caller reads too slowly.
func (g *gateway) write(w http.ResponseWriter, j *job, response callerResponse) error {
	header := w.Header()
	if g.draining.Load() {
		header.Set("Connection", "close")
	}
	if response.targetResponse != nil {
		for name, values := range response.targetResponse.Header {
			header[name] = values
		}
		header.Set("Content-Length", strconv.Itoa(len(response.targetResponse.Body)))
		return g.deliver(w, response.targetResponse)
	}
	info := result.Lookup(response.code)
	platform.SetAttemptID(header, j.callerHeaders.AttemptID)
	header.Set("Tarragon-Code", strconv.Itoa(int(response.code)))
	if response.code == result.APIKeyUnknown {
		platform.SetChallenge(header)
	}
	if response.retryAfter > 0 {
		platform.SetRetryAfter(header, response.retryAfter)
	}
	text := info.Name + "\n"
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	// A caller that does not read would otherwise hold its connection for good.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.settings.DeliveryTimeout))
	w.WriteHeader(statusOf(info))
	_, _ = io.WriteString(w, text)
	return nil
}

// minDeliveryBody is the size of a body, in bytes, from which its delivery is awaited. Smaller ones fit into the buffers of a
// connection.
const minDeliveryBody = 4 << 10

// deliver writes a target's response to the caller. A caller that reads too slowly is disconnected after DeliveryTimeout,
// so that it does not hold memory for longer; what it got is shorter than the Content-Length and does not look complete.
func (g *gateway) deliver(w http.ResponseWriter, response *platform.Response) error {
	connection := http.NewResponseController(w)
	if err := connection.SetWriteDeadline(time.Now().Add(g.settings.DeliveryTimeout)); err != nil {
		return err
	}
	w.WriteHeader(response.Status)
	if len(response.Body) < minDeliveryBody {
		// A write error means that the caller has disconnected, so there is nobody to report it to.
		_, _ = w.Write(response.Body)
		return nil
	}
	_, err := w.Write(response.Body)
	if err == nil {
		err = connection.Flush()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		g.metrics.slowDelivery()
		return err
	}
	return nil
}

// statusOf returns the HTTP status of a result. A request whose deadline passed before it ran, or that is blocked because it
// crashed targets, gets 503, which on the platform is the status that states that a request did not run.
func statusOf(info result.Info) int {
	if info.Code == result.DeadlinePassed || info.Code == result.Quarantined {
		return http.StatusServiceUnavailable
	}
	return info.HTTPStatus
}

// finish counts the request and logs it if it was not served.
func (g *gateway) finish(j *job, response callerResponse) {
	elapsed := g.clock.Now().Sub(j.arrived)
	name := "none"
	if j.route != nil {
		name = j.route.Name
	}
	g.metrics.requestDone(name, response.code, elapsed)
	if j.tenant != nil {
		g.metrics.tenantDone(j.tenant.Name, response.code, elapsed)
	}
	departed, left := j.caller.departure()
	if left {
		g.metrics.departure(departed)
	}
	text := "not served"
	switch {
	case left && response.code == result.OK:
		text, response.reason = "ended after its caller disconnected", "target completed the request"
	case response.code == result.OK && j.sends <= 1:
		return
	case response.code == result.OK:
		text = "served after a repeated attempt"
	}
	fields := g.requestFields(j, response, elapsed)
	if response.code == result.APIKeyUnknown || response.code == result.OverQuota {
		g.log.Part(logging.Request).Refusal(text, fields...)
		return
	}
	g.log.Part(logging.Request).Request(text, fields...)
}

func (g *gateway) requestFields(j *job, response callerResponse, elapsed time.Duration) []logging.Field {
	fields := []logging.Field{
		logging.RequestID(j.callerHeaders.AttemptID), logging.Code(response.code), logging.Reason(response.reason),
		logging.Outcome(result.Lookup(response.code).Outcome), logging.Attempt(j.sends), logging.Elapsed(elapsed),
		logging.TimeLeft(j.timeLeft(g.clock.Now())), logging.ConfigVersion(cmp.Or(response.version, j.version)),
	}
	if j.tenant != nil {
		fields = append(fields, logging.Tenant(j.tenant.Name))
	}
	if j.route != nil {
		fields = append(fields, logging.Route(j.route.Name), logging.Service(j.service))
	}
	if response.target != "" {
		fields = append(fields, logging.TargetID(response.target), logging.DataAge(response.age))
	}
	if e := response.estimate; e != nil {
		fields = append(fields, logging.ExpectedDuration(e.Total), logging.Queue(e.Own, e.Others), logging.ReportAge(e.ReportAge),
			logging.Factors(e.TargetSlowness, e.MachineSlowness, e.FailureFactor, e.OverdueFactor))
	}
	if response.retryAfter > 0 {
		fields = append(fields, logging.RetryAfter(response.retryAfter))
	}
	if response.targetResponse != nil {
		fields = append(fields, logging.Status(response.targetResponse.Status))
	}
	if departed, left := j.caller.departure(); left {
		fields = append(fields, logging.CallerLeft(departed.phase.String(), departed.detectedBy(), departed.at.Sub(j.arrived)))
	}
	switch {
	case j.broken || response.code == result.Quarantined:
		fields = append(fields, j.identify().fields()...)
	case response.code == result.APIKeyUnknown:
		// The fingerprint of the content would be wrong, because the body may not have been read.
		fields = append(fields, logging.Caller(uint64(j.identify().caller)))
	}
	if response.err != nil {
		fields = append(fields, logging.ErrorType(response.err), logging.SystemError(response.err))
	}
	if table := g.state.table.Load(); table != nil && j.callerHeaders.Key >= 0 {
		fields = append(fields, logging.TableOffset(table.Offset), logging.KeyRange(j.callerHeaders.Key, j.callerHeaders.Key))
		if r := table.Find(j.service, j.callerHeaders.Key); r != nil {
			fields = append(fields, logging.Fence(r.Fence), logging.Name(string(r.Owner.Incarnation.ID)))
		}
	}
	return fields
}

// newServer returns the HTTP server for callers.
func (g *gateway) newServer() *http.Server {
	return &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: serverHeaderLimit,
		ConnContext: callerconn.WithConn, ConnState: g.connections.Track, ErrorLog: nil,
	}
}

// ready reports whether the load balancer should send new connections to this VM.
func (g *gateway) ready() bool { return !g.draining.Load() && g.state.complete() && g.knowsStrikes() }

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, ErrSettings.Wrap(err, "cannot listen on address %s", address)
	}
	return listener, nil
}

// budget returns the retry budget of a service.
func (g *gateway) budget(service model.Service) budget {
	g.budgetsMu.Lock()
	defer g.budgetsMu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = g.newBudget()
		g.budgets[service] = b
	}
	return b
}
