package front

import (
	"fmt"
	"net/http"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/dispatch"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// smallBodyBytes is the largest unread body for which a refused caller keeps its connection.
const smallBodyBytes = 16 << 10

const (
	// headerFraming is the number of bytes of ": " and the end of a header line.
	headerFraming = 4
	// headerSlack is how many times the limit net/http reads of a header, so that the answer can say what is wrong.
	headerSlack = 4
)

// exchange is one caller's request and its answer.
type exchange struct {
	front  *Front
	w      http.ResponseWriter
	r      *http.Request
	parsed parsed
	// hasID is true if the caller sent a request ID, even a malformed one.
	hasID bool
	body  bodyBuffer
}

// serveRequest serves ANY /v1/{service}/*.
func (f *Front) serveRequest(w http.ResponseWriter, r *http.Request) {
	e := exchange{front: f, w: w, r: r, hasID: len(r.Header.Values(HeaderRequestID)) > 0,
		body: bodyBuffer{memory: f.memory, limit: f.settings.MaxBodyBytes}}
	defer e.body.release()
	received := time.Now()
	answer, detail := e.run(received)
	f.writeAnswer(w, r, e.parsed, answer, detail)
	f.settings.OnCompleted(CompletedRequest{Preview: e.parsed.preview, Code: answer.Code, Outcome: answer.Outcome,
		Duration: time.Since(received)})
}

// run returns the answer and, for a malformed request, what is wrong.
func (e *exchange) run(received time.Time) (answer dispatch.Response, detail string) {
	defer func() {
		if failure := recover(); failure != nil {
			e.front.settings.Log.Error("The request path panicked. The caller got an error.", logging.Code(result.Internal))
			answer, detail = refuse(result.Internal, e.parsed, e.hasID), ""
		}
	}()
	var err error
	if size := headerBytes(e.r); size > e.front.settings.MaxHeaderBytes {
		e.closeConnection()
		return e.refuseHeader(), fmt.Sprintf("the header has about %d bytes, want at most %d", size, e.front.settings.MaxHeaderBytes)
	}
	if e.parsed, err = parseRequest(e.r, received); err != nil {
		e.leaveBody()
		return refuse(result.BadRequest, e.parsed, e.hasID), problem(err)
	}
	if refused := e.front.settings.Handler.Precheck(e.r.Context(), e.parsed.preview); refused != nil {
		e.leaveBody()
		return *refused, ""
	}
	deadline := e.deadline()
	body, err := e.readBody(deadline)
	if err != nil {
		return e.refuseBody(err, deadline), ""
	}
	return e.front.settings.Handler.Handle(e.r.Context(), e.request(body, deadline)), ""
}

// refuseHeader refuses a request whose header is too large. Whether the request is idempotent is not known, as the header is
// not read.
func (e *exchange) refuseHeader() dispatch.Response {
	answer := refuse(result.BadRequest, e.parsed, e.hasID)
	answer.Status = http.StatusRequestHeaderFieldsTooLarge
	return answer
}

// headerBytes returns the size of a request's first line and header as HTTP/1.1 writes them, in bytes.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + headerFraming
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerFraming
		}
	}
	return size
}

// deadline returns the caller's deadline, but no later than the service's timeout allows.
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
	limit := e.parsed.preview.Received.Add(e.front.settings.BodyTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	if err := control.SetReadDeadline(limit); err != nil {
		return nil, ErrBodyIncomplete.Wrap(err, "cannot limit the time of a body")
	}
	body, err := e.body.read(e.r.Body, e.r.ContentLength)
	if err != nil {
		return nil, err
	}
	// net/http now watches the connection for the caller leaving; the deadline must not look like that.
	if err = control.SetReadDeadline(time.Time{}); err != nil {
		return nil, ErrBodyIncomplete.Wrap(err, "the connection ended")
	}
	return body, nil
}

func (e *exchange) refuseBody(err error, deadline time.Time) dispatch.Response {
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
	return refuse(code, e.parsed, e.hasID)
}

// leaveBody closes the connection after the answer unless the unread body is small enough for net/http to skip it.
func (e *exchange) leaveBody() {
	if e.r.ContentLength < 0 || e.r.ContentLength > smallBodyBytes {
		e.closeConnection()
	}
}

// closeConnection closes the connection after the answer. The read deadline keeps net/http from waiting for the rest of the body.
func (e *exchange) closeConnection() {
	e.w.Header().Set("Connection", "close")
	if err := http.NewResponseController(e.w).SetReadDeadline(time.Now()); err != nil {
		e.front.settings.Log.Warn("Cannot limit the time of a connection.")
	}
}

func (e *exchange) request(body []byte, deadline time.Time) dispatch.Request {
	preview := e.parsed.preview
	return dispatch.Request{
		Tenant: preview.Tenant, Service: preview.Service, Key: preview.Key, RequestID: preview.RequestID,
		Idempotent: preview.Idempotent, Method: e.r.Method, Path: e.parsed.path, Header: requestHeader(e.r, e.parsed),
		Body: body, Received: preview.Received, Deadline: deadline,
	}
}
