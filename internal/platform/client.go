package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const (
	// defaultTimeout bounds one call apart from the time a long poll waits.
	defaultTimeout = 5 * time.Second
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = time.Second
	// defaultMaxAnswer bounds an answer, in bytes; larger answers are treated as malformed.
	defaultMaxAnswer = 16 << 20
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// maxConnections bounds the connections to one service. Each stream holds one in a long poll.
	maxConnections = 8
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
)

// caller sends HTTP calls with bounded time and bounded answers.
type caller struct {
	base      *url.URL
	client    *http.Client
	maxAnswer int64
}

// newCaller returns a caller for a base URL. It returns ErrSettings if the URL is not an absolute HTTP URL.
func newCaller(base string, maxAnswer int64) (*caller, error) {
	parsed, err := url.Parse(strings.TrimSuffix(base, "/"))
	if err != nil {
		return nil, ErrSettings.Wrap(err, "malformed platform URL")
	}
	if parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return nil, ErrSettings.New("platform URL %q is not an absolute HTTP URL", base)
	}
	if maxAnswer <= 0 {
		maxAnswer = defaultMaxAnswer
	}
	return &caller{base: parsed, client: newHTTPClient(), maxAnswer: maxAnswer}, nil
}

func newHTTPClient() *http.Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:        maxConnections,
		MaxIdleConnsPerHost:    maxConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// call sends one request and returns the status and the whole body. It returns ErrUnavailable if no whole answer of at
// most maxAnswer bytes arrives within timeout.
func (c *caller) call(ctx context.Context, timeout time.Duration, method, path string, query url.Values, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := c.base.JoinPath(path)
	target.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, ErrRejected.Wrap(err, "malformed call")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, ErrUnavailable.Wrap(err, "%s %s got no answer", method, path)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, c.maxAnswer+1))
	if err != nil {
		return 0, nil, ErrUnavailable.Wrap(err, "%s %s got an incomplete answer", method, path)
	}
	if int64(len(answer)) > c.maxAnswer {
		return 0, nil, ErrUnavailable.New("%s %s got an answer of more than %d bytes", method, path, c.maxAnswer)
	}
	return response.StatusCode, answer, nil
}

// decodeJSON returns ErrUnavailable if the answer is not valid JSON of the expected type.
func decodeJSON(answer []byte, into any) error {
	if err := json.Unmarshal(answer, into); err != nil {
		return ErrUnavailable.Wrap(err, "malformed answer")
	}
	return nil
}

// statusError maps a status other than 200. Only 4xx answers other than 408 and 429 state that nothing was stored.
func statusError(status int) error {
	retryLater := status == http.StatusRequestTimeout || status == http.StatusTooManyRequests
	if status >= 400 && status < 500 && !retryLater {
		return ErrRejected.New("service refused the call with status %d", status)
	}
	return ErrUnavailable.New("service answered with status %d", status)
}

func (c *caller) close() { c.client.CloseIdleConnections() }
