package front

import (
	"fmt"
	"net/http"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/callerconn"
	"github.com/tarragonpoint/tarragonpoint/internal/dispatch"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

const (
	// headerFraming is the number of bytes of ": " and CRLF in a header line.
	headerFraming = 4
	// headerSlack is the factor by which net/http may exceed the header limit when it reads a header, so that the front
	// can respond with a result code and a detail.
	headerSlack = 4
)

// exchange is the state of one caller's request while it is served.
type exchange struct {
	front  *Front
	w      http.ResponseWriter
	r      *http.Request
	parsed parsedRequest
	// hasID is true if the caller sent a request ID, even a malformed one.
	hasID bool
	body  bodyBuffer
	// received is when the request's header had been read.
	received time.Time
	// isUnread is true while the body has not been read to its end.
	isUnread bool
}

func (f *Front) newExchange(w http.ResponseWriter, r *http.Request) exchange {
	return exchange{front: f, w: w, r: r, hasID: len(r.Header.Values(HeaderRequestID)) > 0, received: time.Now(),
		body: bodyBuffer{memory: f.memory, limit: f.settings.MaxBodyBytes}, isUnread: r.ContentLength != 0}
}

// serveRequest serves /v1/{service}/* for every method.
func (f *Front) serveRequest(w http.ResponseWriter, r *http.Request) {
	e := f.newExchange(w, r)
	defer e.body.release()
	response, detail := e.run()
	e.respond(response, detail)
	f.settings.OnCompleted(CompletedRequest{Preview: e.parsed.preview, Code: response.Code, Outcome: response.Outcome,
		Duration: time.Since(e.received)})
	e.discardBody()
}

// run returns the response and, for a malformed request, a detail that names the invalid part.
func (e *exchange) run() (response dispatch.Response, detail string) {
	defer func() {
		if failure := recover(); failure != nil {
			e.front.settings.Log.Error("The request handler panicked. The caller received an error response.",
				logging.Code(result.Internal))
			response, detail = errorResponse(result.Internal, e.parsed, e.hasID), ""
		}
	}()
	var err error
	if size := headerBytes(e.r); size > e.front.settings.MaxHeaderBytes {
		e.closeConnection()
		return e.rejectLargeHeader(), fmt.Sprintf("the header has about %d bytes, want at most %d", size,
			e.front.settings.MaxHeaderBytes)
	}
	if e.parsed, err = parseRequest(e.r, e.received); err != nil {
		return errorResponse(result.BadRequest, e.parsed, e.hasID), errorDetail(err)
	}
	if rejection := e.front.settings.Handler.Precheck(e.r.Context(), e.parsed.preview); rejection != nil {
		return *rejection, ""
	}
	deadline := e.deadline()
	body, err := e.readBody(deadline)
	if err != nil {
		return e.rejectBody(err, deadline), ""
	}
	return e.front.settings.Handler.Handle(e.r.Context(), e.request(body, deadline)), ""
}

// rejectLargeHeader returns the response to a request whose header is too large. Whether the request is idempotent is
// unknown, as the header is not parsed.
func (e *exchange) rejectLargeHeader() dispatch.Response {
	response := errorResponse(result.BadRequest, e.parsed, e.hasID)
	response.Status = http.StatusRequestHeaderFieldsTooLarge
	return response
}

// headerBytes returns the approximate size, in bytes, of a request's request line and header as HTTP/1.1 encodes them.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + headerFraming
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerFraming
		}
	}
	return size
}

// deadline returns the earliest of the caller's deadline and the ends of the service's timeout and of RequestTimeout.
func (e *exchange) deadline() time.Time {
	timeout := min(e.front.settings.RequestTimeout, e.front.settings.Handler.Timeout(e.parsed.preview.Service))
	if e.parsed.timeout > 0 {
		timeout = min(timeout, e.parsed.timeout)
	}
	return e.parsed.preview.Received.Add(timeout)
}

// readBody reads the body within the body timeout and the deadline.
func (e *exchange) readBody(deadline time.Time) ([]byte, error) {
	control := http.NewResponseController(e.w)
	limit := e.bodyDeadline()
	if deadline.Before(limit) {
		limit = deadline
	}
	if err := control.SetReadDeadline(limit); err != nil {
		return nil, ErrBodyIncomplete.Wrap(err, "the read deadline of a body cannot be set")
	}
	body, err := e.body.read(e.r.Body, e.r.ContentLength)
	if err != nil {
		return nil, err
	}
	// From here on net/http reads from the connection to detect a disconnect of the caller; an expired read deadline
	// would look like one.
	if err = control.SetReadDeadline(time.Time{}); err != nil {
		return nil, ErrBodyIncomplete.Wrap(err, "the read deadline of the connection cannot be cleared")
	}
	e.isUnread = false
	return body, nil
}

func (e *exchange) rejectBody(err error, deadline time.Time) dispatch.Response {
	e.closeConnection()
	code := result.BadRequest
	switch {
	case errorIs(err, ErrBodyTooLarge):
		code = result.BodyTooLarge
	case errorIs(err, ErrMemoryExhausted):
		code = result.Overloaded
	case !time.Now().Before(deadline):
		code = result.DeadlinePassed
	}
	return errorResponse(code, e.parsed, e.hasID)
}

// bodyDeadline returns the end of the time in which the caller must have sent its body.
func (e *exchange) bodyDeadline() time.Time { return e.received.Add(e.front.settings.BodyTimeout) }

// respond writes the response, without waiting for the rest of the body.
func (e *exchange) respond(response dispatch.Response, detail string) {
	if e.isUnread {
		callerconn.PrepareEarly(e.w, e.r)
	}
	e.front.writeResponse(e.w, e.r, e.parsed, response, detail)
}

// discardBody reads the rest of a rejected request's body, or aborts the connection if that takes too long.
func (e *exchange) discardBody() {
	e.body.release()
	if e.isUnread && !callerconn.DiscardBody(e.w, e.r, time.Until(e.bodyDeadline())) {
		panic(http.ErrAbortHandler)
	}
}

// closeConnection closes the connection after the response.
func (e *exchange) closeConnection() { e.w.Header().Set("Connection", "close") }

func (e *exchange) request(body []byte, deadline time.Time) dispatch.Request {
	preview := e.parsed.preview
	return dispatch.Request{
		Tenant: preview.Tenant, Service: preview.Service, Key: preview.Key, RequestID: preview.RequestID,
		Idempotent: preview.Idempotent, Method: e.r.Method, Path: e.parsed.path, Header: requestHeader(e.r, e.parsed),
		Body: body, Received: preview.Received, Deadline: deadline,
	}
}
