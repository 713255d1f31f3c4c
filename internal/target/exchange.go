package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// maxHeaderBytes bounds the header of an answer, informational answers included.
const maxHeaderBytes = 64 << 10

var (
	errTooLarge      = errors.New("answer exceeds the size limit")
	errUnknownLength = errors.New("answer has no length, so that it cannot be known to be whole")
)

// answer is a whole answer.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	reusable bool
}

// exchange writes one encoded request and reads one whole answer. It writes the request at most once, on this
// connection only; http.Transport is not used because it sends some requests again on another connection by itself.
func exchange(ctx context.Context, conn *connection, request *http.Request, encoded []byte, maxBody int64) (answer, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	conn.readable = maxHeaderBytes + maxBody + 1
	written, err := conn.Write(encoded)
	if err != nil {
		return answer{}, writeError(err, written)
	}
	received, err := readAnswer(conn, request, maxBody)
	if err != nil {
		return answer{}, readError(ctx, err)
	}
	// A deadline set by the AfterFunc would break the next use.
	received.reusable = received.reusable && stop()
	return received, nil
}

func readAnswer(conn *connection, request *http.Request, maxBody int64) (answer, error) {
	response, err := readFinalHeader(conn, request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return answer{}, errUnknownLength
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody+1))
	if err != nil {
		return answer{}, err
	}
	if int64(len(body)) > maxBody {
		return answer{}, errTooLarge
	}
	return answer{status: response.StatusCode, header: response.Header, body: body, reusable: !response.Close}, nil
}

// readFinalHeader skips informational answers.
func readFinalHeader(conn *connection, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("answer switches protocols")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

func encode(request *http.Request) ([]byte, error) {
	var buffer bytes.Buffer
	if err := request.Write(&buffer); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// writeError returns ErrNotSent only if the kernel took no byte.
func writeError(err error, written int) error {
	if written == 0 {
		return ErrNotSent.Wrap(err, "no byte was written")
	}
	if isTimeout(err) {
		return ErrTimeout.Wrap(err, "target did not read the request in time")
	}
	return ErrBroken.Wrap(err, "connection broke while the request was written")
}

// readError treats a reset by the kernel's own timers as broken: ctx still runs then.
func readError(ctx context.Context, err error) error {
	if ctx.Err() != nil && isTimeout(err) {
		return ErrTimeout.Wrap(err, "no whole answer in time")
	}
	return ErrBroken.Wrap(err, "no whole answer")
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
