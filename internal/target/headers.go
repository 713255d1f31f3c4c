package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// reservedPath is the path prefix of the lease protocol. Requests from callers must not reach it.
const reservedPath = "/tarragon"

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
}

// protocolHeaders are set only by the router and by targets, and are not forwarded. A caller that could set them could
// forge a fence or a term.
var protocolHeaders = []string{
	HeaderAttempt, HeaderSlot, HeaderFence, HeaderKeyHash, HeaderTerm, HeaderDeadline, HeaderNotAfter,
	HeaderIncarnation, HeaderCold, HeaderNotRun,
}

// newRequest builds the HTTP request of an attempt.
func newRequest(ctx context.Context, address Address, attempt Request) (*http.Request, error) {
	if attempt.Attempt == "" {
		return nil, ErrNotSent.New("request has no attempt ID")
	}
	target, err := requestURL(address, attempt.Path)
	if err != nil {
		return nil, err
	}
	request, err := newHTTPRequest(ctx, attempt.Method, target, attempt.Body)
	if err != nil {
		return nil, err
	}
	request.Header = endToEndHeader(attempt.Header)
	setProtocolHeaders(request.Header, attempt)
	return request, nil
}

func requestURL(address Address, pathAndQuery string) (string, error) {
	parsed, err := url.ParseRequestURI(pathAndQuery)
	if err != nil || !strings.HasPrefix(pathAndQuery, "/") {
		return "", ErrNotSent.New("path is malformed")
	}
	cleaned := strings.ToLower(path.Clean("/" + parsed.Path))
	if cleaned == reservedPath || strings.HasPrefix(cleaned, reservedPath+"/") {
		return "", ErrNotSent.New("path is reserved for the protocol")
	}
	return "http://" + string(address) + pathAndQuery, nil
}

// newHTTPRequest builds a request with a body of known length.
func newHTTPRequest(ctx context.Context, method, target string, body []byte) (*http.Request, error) {
	var reader io.Reader = http.NoBody
	if len(body) > 0 {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "request is malformed")
	}
	return request, nil
}

// endToEndHeader returns a copy of a header without hop-by-hop headers, including those listed in Connection, and
// without protocol headers.
func endToEndHeader(header http.Header) http.Header {
	copied := header.Clone()
	if copied == nil {
		copied = http.Header{}
	}
	for _, listed := range copied.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		copied.Del(name)
	}
	for _, name := range protocolHeaders {
		copied.Del(name)
	}
	return copied
}

func setProtocolHeaders(header http.Header, attempt Request) {
	header.Set(HeaderAttempt, attempt.Attempt)
	header.Set(HeaderDeadline, strconv.FormatInt(attempt.Timeout.Milliseconds(), 10))
	if attempt.Slot != nil {
		header.Set(HeaderSlot, attempt.Slot.String())
		header.Set(HeaderFence, strconv.FormatUint(uint64(attempt.Fence), 10))
		header.Set(HeaderKeyHash, strconv.FormatUint(attempt.KeyHash, 16))
	}
	if attempt.Term != nil {
		header.Set(HeaderTerm, attempt.Term.String())
	}
	if attempt.NotAfter != 0 {
		header.Set(HeaderNotAfter, strconv.FormatInt(int64(attempt.NotAfter), 10))
	}
}

// newResponse interprets the protocol headers of a response. A missing or malformed incarnation yields 0.
func newResponse(received rawResponse) Response {
	incarnation, err := strconv.ParseUint(received.header.Get(HeaderIncarnation), 10, 64)
	if err != nil {
		incarnation = 0
	}
	return Response{
		Status:      received.status,
		Header:      endToEndHeader(received.header),
		Body:        received.body,
		Incarnation: model.Incarnation(incarnation),
		Cold:        received.header.Get(HeaderCold) == "1",
		NotRun:      RefusalReason(received.header.Get(HeaderNotRun)),
	}
}
