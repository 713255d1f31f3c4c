package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/bounds"
)

var (
	errTooLarge      = errors.New("response exceeds the size limit")
	errInvalidStatus = errors.New("response has a status that HTTP does not define")
	errUnknownLength = errors.New("response has no Content-Length and no Transfer-Encoding; it may be truncated")
)

// maxStatus is the highest status that HTTP defines.
const maxStatus = 599

// rawResponse is a complete response whose protocol headers have not been interpreted yet.
type rawResponse struct {
	status   int
	header   http.Header
	body     []byte
	reusable bool
}

// exchange writes one encoded request and reads one complete response. It writes the request at most once, on this
// connection only. It does not use http.Transport, which automatically resends some requests on another connection.
func exchange(
	ctx context.Context, conn *connection, request *http.Request, encoded []byte, maxBody int64, bodies *bounds.BodyMemory,
) (rawResponse, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	written, err := conn.Write(encoded)
	if err != nil {
		return rawResponse{}, writeError(err, written)
	}
	received, err := readResponse(conn, request, maxBody, bodies)
	if err != nil {
		return rawResponse{}, readError(ctx, err)
	}
	// If the AfterFunc has started, the connection has an expired deadline and must not be reused.
	received.reusable = received.reusable && stop()
	return received, nil
}

func readResponse(conn *connection, request *http.Request, maxBody int64, bodies *bounds.BodyMemory) (rawResponse, error) {
	response, err := readFinalHeader(conn, request)
	if err != nil {
		return rawResponse{}, err
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return rawResponse{}, errUnknownLength
	}
	// The body is not closed on an error, as that would read its rest.
	body, reserved, err := bodies.ReadAll(io.LimitReader(response.Body, maxBody+1))
	if err != nil {
		return rawResponse{}, err
	}
	defer reserved.Release()
	if int64(len(body)) > maxBody {
		return rawResponse{}, errTooLarge
	}
	_ = response.Body.Close()
	return rawResponse{status: response.StatusCode, header: response.Header, body: body, reusable: !response.Close}, nil
}

// readFinalHeader reads the header of the final response and skips informational (1xx) responses. It rejects a response
// that switches protocols.
func readFinalHeader(conn *connection, request *http.Request) (*http.Response, error) {
	conn.received.BeginHead()
	defer conn.received.EndHead()
	for {
		response, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("response switches protocols")
		}
		if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus {
			return nil, errInvalidStatus
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

// writeError classifies a failed write. It returns ErrNotSent only if the kernel accepted no byte of the request.
func writeError(err error, written int) error {
	if written == 0 {
		return ErrNotSent.Wrap(err, "no byte of the request was written")
	}
	if isTimeout(err) {
		return ErrTimeout.Wrap(err, "target did not read the request in time")
	}
	return ErrBroken.Wrap(err, "connection failed while the request was being written")
}

// readError classifies a failed read. A timeout while ctx is still active comes from the kernel's TCP timers and is
// reported as ErrBroken.
func readError(ctx context.Context, err error) error {
	if ctx.Err() != nil && isTimeout(err) {
		return ErrTimeout.Wrap(err, "no complete response in time")
	}
	return ErrBroken.Wrap(err, "no complete response")
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
