// Package upstream sends HTTP/1.1 requests to targets over kept connections and tells what is known about a request
// that got no answer.
//
// It does not retry, follow redirects or hide any failure, because the caller has to know whether a request can have
// run.
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
)

var (
	errNamespace = errorx.NewNamespace("upstream")
	// ErrNotSent reports that no byte of the request left this process.
	ErrNotSent = errNamespace.NewType("not_sent")
	// ErrRefused reports that the host refused the connection.
	ErrRefused = ErrNotSent.NewSubtype("refused")
	// ErrNotConnected reports that the demanded connection is not open any more, or is in use.
	ErrNotConnected = ErrNotSent.NewSubtype("not_connected")
	// ErrNoResponse reports that the connection ended after the request was sent, without a complete answer.
	ErrNoResponse = errNamespace.NewType("no_answer")
	// ErrMalformed reports an answer that is not HTTP or does not belong to the request.
	ErrMalformed = errNamespace.NewType("malformed")
	// ErrTimeout reports that the context ended before the answer was complete.
	ErrTimeout = errNamespace.NewType("timeout")
)

const (
	// readBuffer and writeBuffer are the sizes of a connection's buffers, in bytes; most messages fit into them.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// maxStaleAnswers bounds the answers of other requests that are skipped on one connection.
	maxStaleAnswers = 2
	// keepAliveMargin is subtracted from the idle time that a target states, because it closes at that time.
	keepAliveMargin = 1200 * time.Millisecond
)

// Request is a request to a target. Body is sent with its length.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ConnectionID demands the connection over which an earlier answer came; 0 takes any.
	ConnectionID uint64
	// ReplaceClosed opens a new connection at once if the target closes the one it answered over.
	ReplaceClosed bool
	// Matches reports whether an answer with this status and header belongs to the request; nil accepts all.
	Matches func(status int, header http.Header) bool
}

// Response is a complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// ConnectionID identifies the connection; it is 0 if the connection is not kept.
	ConnectionID uint64
}

// conn is one connection to a target. It serves one request at a time.
type conn struct {
	id      uint64
	socket  net.Conn
	raw     syscall.RawConn
	reader  *bufio.Reader
	writer  *bufio.Writer
	expires time.Time
}

func newConn(socket net.Conn) *conn {
	c := &conn{
		socket: socket, reader: bufio.NewReaderSize(socket, readBuffer), writer: bufio.NewWriterSize(socket, writeBuffer),
	}
	if tcp, ok := socket.(syscall.Conn); ok {
		// Without the raw connection isQuiet cannot look at the socket, and the connection is not reused.
		c.raw, _ = tcp.SyscallConn()
	}
	return c
}

// reset closes the connection so that bytes still under way are dropped.
func (c *conn) reset() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.socket.Close()
}

// isQuiet reports whether an idle connection is open and has received nothing since its last answer.
func (c *conn) isQuiet() bool {
	if c.raw == nil || c.reader.Buffered() > 0 {
		return false
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange sends a request and reads its answer. keep is true if the connection can serve another request.
func (c *conn) exchange(ctx context.Context, request *Request) (response *Response, keep bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.socket.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	written := make(chan error, 1)
	if len(request.Body) <= writeBuffer {
		written <- c.write(request)
	} else {
		// A target may answer before it has read a long body.
		go func() { written <- c.write(request) }()
	}
	response, keep, err = c.readAnswer(request)
	if err != nil {
		c.reset()
		<-written
		return nil, false, c.classify(ctx, err)
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

func (c *conn) classify(ctx context.Context, err error) error {
	if errorx.IsOfType(err, ErrMalformed) {
		return err
	}
	if ctx.Err() != nil {
		return ErrTimeout.Wrap(err, "request was given up")
	}
	return ErrNoResponse.Wrap(err, "connection ended")
}

func (c *conn) write(request *Request) error {
	var head bytes.Buffer
	head.Grow(512)
	head.WriteString(request.Method + " " + request.URI + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if err := request.Header.Write(&head); err != nil {
		return ErrNotSent.Wrap(err, "header cannot be written")
	}
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if _, err := c.writer.Write(head.Bytes()); err != nil {
		return ErrNoResponse.Wrap(err, "request line")
	}
	if _, err := c.writer.Write(request.Body); err != nil {
		return ErrNoResponse.Wrap(err, "request body")
	}
	if err := c.writer.Flush(); err != nil {
		return ErrNoResponse.Wrap(err, "request")
	}
	return nil
}

// readAnswer reads answers until one belongs to the request. A connection that carried an answer of another request is
// not kept.
func (c *conn) readAnswer(request *Request) (*Response, bool, error) {
	for stale := 0; ; stale++ {
		response, keep, err := c.readOne(request)
		if err != nil {
			return nil, false, err
		}
		if request.Matches == nil || request.Matches(response.Status, response.Header) {
			return response, keep && stale == 0, nil
		}
		if stale >= maxStaleAnswers || !keep {
			return nil, false, ErrMalformed.New("answer of status %d belongs to another request", response.Status)
		}
	}
}

func (c *conn) readOne(request *Request) (*Response, bool, error) {
	answer, err := c.readHead(request.Method)
	if err != nil {
		return nil, false, err
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err != nil {
		return nil, false, ErrNoResponse.Wrap(err, "answer is cut after %d bytes", len(body))
	}
	keep := !answer.Close && (answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0)
	if keep {
		c.expires = time.Now().Add(idleTime(answer.Header))
	}
	return &Response{Status: answer.StatusCode, Header: answer.Header, Body: body}, keep, nil
}

// readHead skips informational answers.
func (c *conn) readHead(method string) (*http.Response, error) {
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, ErrNoResponse.Wrap(err, "no answer")
		}
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, headError(err)
		}
		if answer.StatusCode >= http.StatusOK || answer.StatusCode == http.StatusSwitchingProtocols {
			return answer, nil
		}
	}
}

func headError(err error) error {
	var network net.Error
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.As(err, &network) {
		return ErrNoResponse.Wrap(err, "answer is cut")
	}
	return ErrMalformed.Wrap(err, "answer is not HTTP")
}

// defaultIdle is how long a connection is kept if the target does not state a time, in line with common server settings.
const defaultIdle = 4 * time.Second

// idleTime returns how long a connection may be kept after an answer.
func idleTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return defaultIdle
}
