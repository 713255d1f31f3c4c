// Package upstream sends HTTP/1.1 requests to targets over persistent connections. For a request without a response,
// the error type states whether the request can have reached the target.
//
// The package does not retry, follow redirects or hide any failure, because its caller has to know whether a request
// can have run.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"

	"github.com/tarragonpoint/tarragonpoint/internal/bounds"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

var (
	errNamespace = errorx.NewNamespace("upstream")
	// ErrNotSent reports that no byte of the request left this process.
	ErrNotSent = errNamespace.NewType("not_sent")
	// ErrRefused reports that the target's host refused the connection.
	ErrRefused = ErrNotSent.NewSubtype("refused")
	// ErrNotConnected reports that the connection given by Request.ConnectionID is closed or in use.
	ErrNotConnected = ErrNotSent.NewSubtype("not_connected")
	// ErrTooRecent reports that the connections to the target were not opened before Request.ConnectedBefore.
	ErrTooRecent = ErrNotSent.NewSubtype("too_recent")
	// ErrAbandoned reports that the request was not wanted any more before it was sent.
	ErrAbandoned = ErrNotSent.NewSubtype("abandoned")
	// ErrNoResponse reports that the connection closed after the request was sent and before the response was complete.
	ErrNoResponse = errNamespace.NewType("no_answer")
	// ErrMalformed reports a response that is not HTTP or does not belong to the request.
	ErrMalformed = errNamespace.NewType("malformed")
	// ErrTimeout reports that the context ended before the response was complete.
	ErrTimeout = errNamespace.NewType("timeout")
)

const (
	// readBufferSize and writeBufferSize are the sizes of a connection's buffers, in bytes; most messages fit into them.
	readBufferSize  = 4 << 10
	writeBufferSize = 4 << 10
	// maxStaleResponses is the number of responses to other requests that are skipped while waiting for a response.
	maxStaleResponses = 2
	// keepAliveMargin is subtracted from the idle timeout in a target's Keep-Alive header, because the target closes the
	// connection when that time is up.
	keepAliveMargin = 1200 * time.Millisecond
)

// Request is a request to a target. Body is sent with a Content-Length header.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ConnectionID requires the connection that an earlier response identified; 0 allows any connection.
	ConnectionID uint64
	// ConnectedBefore requires a connection that was opened before an instant of the pool's clock; 0 allows any connection. Without
	// one, the request ends with ErrTooRecent, and there is a connection for later requests.
	ConnectedBefore model.Instant
	// Avoid lists connections that the request must not use. A target may repeat a response, and a copy of the response to
	// an earlier attempt cannot be told from the response to this one if both are sent over the same connection.
	Avoid []uint64
	// OwnConnection opens a connection for this request alone, so that any response on it belongs to the request.
	OwnConnection bool
	// Wanted ends when nobody waits for the response any more. Until the first byte of the request is sent, that ends the
	// request with ErrAbandoned; later it has no effect. nil never ends.
	Wanted context.Context
	// BeforeSend is called once there is a connection, immediately before the first byte of the request is sent, with an instant
	// at which the connection was open, shortly after it was opened. If it returns an error, the request ends with ErrAbandoned.
	// nil calls nothing.
	BeforeSend func(openedAt model.Instant) error
	// ReplaceClosed opens a new connection for later requests as soon as the target closes the connection after its response.
	ReplaceClosed bool
	// Matches reports whether a response with this head belongs to the request; nil accepts all responses.
	Matches func(head Head) bool
	// NoSkip ends the request with ErrMalformed at a response that does not belong to it, without waiting for another one.
	NoSkip bool
}

// Head is the head of a response, before it is known to which request the response belongs.
type Head struct {
	Status int
	Header http.Header
	// First is true for the first response on a connection, which cannot belong to an earlier request.
	First bool
}

// abandoned reports whether the request is not wanted any more.
func (r *Request) abandoned() bool { return r.Wanted != nil && r.Wanted.Err() != nil }

// confirm returns an error unless the request is still wanted now that there is a connection for it, and may use it.
func (r *Request) confirm(c *conn) error {
	if r.ConnectedBefore != 0 && c.openedAt >= r.ConnectedBefore {
		return ErrTooRecent.New("connection %d is too recent", c.id)
	}
	if r.abandoned() {
		return ErrAbandoned.Wrap(r.Wanted.Err(), "request is not wanted any more")
	}
	if r.BeforeSend == nil {
		return nil
	}
	if err := r.BeforeSend(c.openedAt); err != nil {
		return ErrAbandoned.Wrap(err, "request is not wanted any more")
	}
	return nil
}

// Response is a complete response. Its body counts towards the pool's memory for bodies until Release.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// body is the part of the memory for bodies that Body holds.
	body *bounds.Reservation
	// endsWithConnection is true if nothing but the end of the connection delimits the body.
	endsWithConnection bool
	// ConnectionID identifies the connection for later requests; 0 if it was closed.
	ConnectionID uint64
}

// Release returns the memory of the body to the pool. The response must not be used afterwards. It may be called several
// times and on nil.
func (r *Response) Release() {
	if r != nil {
		r.body.Release()
	}
}

// conn is one connection to a target. It serves one request at a time.
type conn struct {
	id uint64
	// openedAt is an instant at which the connection was open, shortly after it was opened.
	openedAt model.Instant
	socket   net.Conn
	raw      syscall.RawConn
	// received bounds the heads that reader reads from socket.
	received *bounds.HeadReader
	reader   *bufio.Reader
	writer   *bufio.Writer
	// bodies is the memory for the bodies of all connections of the pool.
	bodies  *bounds.BodyMemory
	expires time.Time
	// responses is the number of responses received.
	responses int
}

func newConn(socket net.Conn, bodies *bounds.BodyMemory) *conn {
	received := bounds.NewHeadReader(socket)
	c := &conn{
		socket: socket, received: received, reader: bufio.NewReaderSize(received, readBufferSize),
		writer: bufio.NewWriterSize(socket, writeBufferSize), bodies: bodies,
	}
	if tcp, ok := socket.(syscall.Conn); ok {
		// On an error, raw is nil: isReusable cannot inspect the socket, and the connection is not reused.
		c.raw, _ = tcp.SyscallConn()
	}
	return c
}

// reset closes the connection and discards data that has not been delivered yet.
func (c *conn) reset() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.socket.Close()
}

// isReusable reports whether an idle connection is open and has received no data since its last response.
func (c *conn) isReusable() bool {
	if c.raw == nil || c.reader.Buffered() > 0 {
		return false
	}
	reusable := false
	err := c.raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// exchange sends a request and reads its response. keep is true if the connection can serve another request.
func (c *conn) exchange(ctx context.Context, request *Request) (response *Response, keep bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.socket.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	written := make(chan error, 1)
	if len(request.Body) <= writeBufferSize {
		written <- c.write(request)
	} else {
		// A target may respond before it has read all of a long body.
		go func() { written <- c.write(request) }()
	}
	response, keep, err = c.readMatchingResponse(request)
	if err != nil {
		c.reset()
		<-written
		return nil, false, c.classifyError(ctx, err)
	}
	if response.endsWithConnection {
		// The write may still succeed, if the target has closed only its direction of the connection.
		if err := checkEnd(<-written); err != nil {
			response.Release()
			c.reset()
			return nil, false, c.classifyError(ctx, err)
		}
		return response, false, nil
	}
	select {
	case writeErr := <-written:
		keep = keep && writeErr == nil
	default:
		c.reset()
		<-written
		keep = false
	}
	if !stop() {
		keep = false
	}
	return response, keep, nil
}

// checkEnd returns ErrNoResponse if the end of a connection is not the end of the response that it delimits (RFC 9112,
// section 8). writeErr is the result of writing the request. A connection that is reset reports the reset once: if a write gets
// the error, the read that follows finds an ordinary end. A response with a length or in chunks needs no such check, because
// its framing shows where it ends.
func checkEnd(writeErr error) error {
	if writeErr == nil {
		return nil
	}
	return ErrNoResponse.Wrap(writeErr, "connection that delimits the response failed while the request was written")
}

func (c *conn) classifyError(ctx context.Context, err error) error {
	if errorx.IsOfType(err, ErrMalformed) {
		return err
	}
	if ctx.Err() != nil {
		return ErrTimeout.Wrap(err, "context ended before the response was complete")
	}
	return ErrNoResponse.Wrap(err, "connection closed before the response was complete")
}

func (c *conn) write(request *Request) error {
	var head bytes.Buffer
	head.Grow(512)
	head.WriteString(request.Method + " " + request.URI + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if err := request.Header.Write(&head); err != nil {
		return ErrNotSent.Wrap(err, "request header cannot be encoded")
	}
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if _, err := c.writer.Write(head.Bytes()); err != nil {
		return ErrNoResponse.Wrap(err, "request head cannot be sent")
	}
	if _, err := c.writer.Write(request.Body); err != nil {
		return ErrNoResponse.Wrap(err, "request body cannot be sent")
	}
	if err := c.writer.Flush(); err != nil {
		return ErrNoResponse.Wrap(err, "request")
	}
	return nil
}

// readMatchingResponse reads responses until one belongs to the request. A connection that carried a response to
// another request is not kept.
func (c *conn) readMatchingResponse(request *Request) (*Response, bool, error) {
	for stale := 0; ; stale++ {
		response, keep, err := c.readResponse(request)
		if err != nil {
			return nil, false, err
		}
		c.responses++
		head := Head{Status: response.Status, Header: response.Header, First: c.responses == 1}
		if request.Matches == nil || request.Matches(head) {
			return response, keep && stale == 0 && !request.OwnConnection, nil
		}
		response.Release()
		if stale >= maxStaleResponses || !keep || request.NoSkip {
			return nil, false, ErrMalformed.New("response with status %d belongs to another request", response.Status)
		}
	}
}

func (c *conn) readResponse(request *Request) (*Response, bool, error) {
	received, err := c.readResponseHead(request.Method)
	if err != nil {
		return nil, false, err
	}
	// The body is not closed on an error, as that would read its rest.
	body, reserved, err := c.bodies.ReadAll(received.Body)
	if errors.Is(err, bounds.ErrTooLong) {
		return nil, false, ErrMalformed.Wrap(err, "there is no memory for the rest of the response body")
	}
	if err != nil {
		return nil, false, ErrNoResponse.Wrap(err, "response body is truncated after %d bytes", len(body))
	}
	isDelimited := received.ContentLength >= 0 || len(received.TransferEncoding) > 0
	keep := !received.Close && isDelimited
	if keep {
		c.expires = time.Now().Add(idleTimeout(received.Header))
	}
	return &Response{
		Status: received.StatusCode, Header: received.Header, Body: body, body: reserved,
		endsWithConnection: !isDelimited && received.Body != http.NoBody,
	}, keep, nil
}

// maxStatus is the highest status that HTTP defines.
const maxStatus = 599

// readResponseHead returns the next response without its body. It skips informational (1xx) responses. It returns ErrMalformed
// for 101, because no request asks for another protocol, and for a status outside of those that HTTP defines.
func (c *conn) readResponseHead(method string) (*http.Response, error) {
	c.received.BeginHead()
	defer c.received.EndHead()
	for {
		_, err := c.reader.Peek(1)
		if errors.Is(err, bounds.ErrTooLong) {
			return nil, responseHeadError(err)
		}
		if err != nil {
			return nil, ErrNoResponse.Wrap(err, "no response")
		}
		received, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, responseHeadError(err)
		}
		switch status := received.StatusCode; {
		case status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols:
			return nil, ErrMalformed.New("response has the invalid status %d", status)
		case status >= http.StatusOK:
			return received, nil
		}
	}
}

func responseHeadError(err error) error {
	var network net.Error
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.As(err, &network) {
		return ErrNoResponse.Wrap(err, "response head is truncated")
	}
	return ErrMalformed.Wrap(err, "response is not HTTP")
}

// defaultIdleTimeout is the time for which an idle connection is kept if the target's Keep-Alive header has no timeout.
// It follows common server settings.
const defaultIdleTimeout = 4 * time.Second

// idleTimeout returns the time for which a connection may stay idle after a response with this header.
func idleTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return defaultIdleTimeout
}
