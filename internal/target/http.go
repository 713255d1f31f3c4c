package target

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/bounds"
	"github.com/tarragonpoint/tarragonpoint/internal/callerconn"
	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
)

// HTTPID is the plug-in ID of HTTPClient.
const HTTPID kernel.ID = "target.http"

const (
	defaultMaxBody     = 8 << 20
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 30 * time.Second
	// cancelTimeout limits a cancellation call, which is best effort.
	cancelTimeout = 500 * time.Millisecond

	pathRenew  = "/tarragon/v1/renew"
	pathRevoke = "/tarragon/v1/revoke"
	pathCancel = "/tarragon/v1/cancel"
)

func init() {
	kernel.Register(HTTPID, func() any { return &HTTPClient{} })
}

// HTTPClient is the plug-in target.http, the HTTP implementation of Client. The zero value is ready for use. It never
// sends a request twice.
type HTTPClient struct {
	// MaxBody limits the body of a response, in bytes; 0 means 8 MiB.
	MaxBody int64
	// BodyMemory is the number of bytes that the bodies of responses may hold together while they are read; 0 means 32 MiB.
	// The first 64 KiB of each body do not count.
	BodyMemory int64
	// DialTimeout limits the time to establish a connection; 0 means 1 s.
	DialTimeout time.Duration
	// IdleTimeout is the time for which an idle connection is kept; 0 means 30 s.
	IdleTimeout time.Duration
	// Dial opens connections; nil means TCP. Tests can replace it to run without sockets.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mutex sync.Mutex
	// pools and bodies are created with the first request.
	pools         map[poolKey]*pool
	bodies        *bounds.BodyMemory
	lastSweep     time.Time
	stopped       bool
	cancellations sync.WaitGroup
}

type poolKey struct {
	address Address
	purpose connPurpose
}

var _ Client = (*HTTPClient)(nil)

// Renew renews a lease. If fresh is true, it closes the idle connections for renewals and opens a new one.
func (c *HTTPClient) Renew(ctx context.Context, address Address, request RenewRequest, fresh bool) (RenewResponse, error) {
	var response RenewResponse
	err := c.postJSON(ctx, purposeRenew, address, pathRenew, request, &response, fresh)
	return response, err
}

// Revoke revokes slots from a target.
func (c *HTTPClient) Revoke(ctx context.Context, address Address, request RevokeRequest) (RevokeResponse, error) {
	var response RevokeResponse
	err := c.postJSON(ctx, purposeRevoke, address, pathRevoke, request, &response, false)
	return response, err
}

// Do runs one attempt as specified by Client. If ctx or the timeout ends after the request was written, Do returns
// ErrTimeout without waiting for the cancellation call.
func (c *HTTPClient) Do(ctx context.Context, address Address, attempt Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, attempt.Timeout)
	defer cancel()
	request, err := newRequest(ctx, address, attempt)
	if err != nil {
		return Response{}, err
	}
	wanted := attempt.Wanted
	if wanted == nil {
		wanted = ctx
	}
	matches := func(received rawResponse) bool { return received.header.Get(HeaderAttempt) == attempt.Attempt }
	received, err := c.send(ctx, wanted, purposeRequest, address, request, false, matches)
	if err != nil {
		if errorx.IsOfType(err, ErrTimeout) && !attempt.NoCancel {
			c.cancelAttempt(address, attempt.Attempt)
		}
		return Response{}, err
	}
	return newResponse(received), nil
}

// Stop closes the idle connections and waits until all pending cancellation calls have ended or ctx ends.
func (c *HTTPClient) Stop(ctx context.Context) error {
	c.mutex.Lock()
	c.stopped = true
	pools := c.pools
	c.pools = nil
	c.mutex.Unlock()
	for _, p := range pools {
		p.close()
	}
	done := make(chan struct{})
	go func() {
		c.cancellations.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// send runs one exchange on a connection for the given purpose. The connection is returned to the pool only after a
// complete response that matches, or unused if wanted has ended.
func (c *HTTPClient) send(
	ctx, wanted context.Context, purpose connPurpose, address Address, request *http.Request, fresh bool,
	matches func(rawResponse) bool,
) (rawResponse, error) {
	encoded, err := encode(request)
	if err != nil {
		return rawResponse{}, ErrNotSent.Wrap(err, "request is malformed")
	}
	connections, err := c.poolFor(address, purpose)
	if err != nil {
		return rawResponse{}, err
	}
	conn, err := c.connect(ctx, wanted, connections, address, fresh)
	if err != nil {
		return rawResponse{}, err
	}
	received, err := exchange(ctx, conn, request, encoded, orDefault(c.MaxBody, defaultMaxBody), c.bodies)
	if err != nil {
		connections.put(conn, false)
		return rawResponse{}, err
	}
	if !matches(received) {
		connections.put(conn, false)
		return rawResponse{}, ErrAttemptMismatch.New("response from target %s carries a different attempt ID", address)
	}
	connections.put(conn, received.reusable)
	return received, nil
}

// connect returns a connection for a request that is still wanted.
func (c *HTTPClient) connect(
	ctx, wanted context.Context, connections *pool, address Address, fresh bool,
) (*connection, error) {
	waiting, stop := callerconn.UntilLeft(ctx, wanted)
	defer stop()
	conn, err := connections.get(waiting, c.dial(), address, orDefault(c.IdleTimeout, defaultIdleTimeout), fresh)
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "no connection to target %s", address)
	}
	if wanted.Err() != nil || callerconn.IsClosed(wanted) {
		connections.put(conn, true)
		return nil, ErrNotSent.New("caller has left")
	}
	return conn, nil
}

// postJSON sends a call of the lease protocol and decodes its response. It returns ErrBroken for a status other than
// 200 and for a malformed response.
func (c *HTTPClient) postJSON(
	ctx context.Context, purpose connPurpose, address Address, path string, call, response any, fresh bool,
) error {
	body, err := json.Marshal(call)
	if err != nil {
		return ErrNotSent.Wrap(err, "call cannot be encoded")
	}
	request, err := newHTTPRequest(ctx, http.MethodPost, "http://"+string(address)+path, body)
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	// An empty value prevents net/http from adding its default User-Agent, 32 bytes in each renewal.
	request.Header.Set("User-Agent", "")
	received, err := c.send(ctx, ctx, purpose, address, request, fresh, func(rawResponse) bool { return true })
	if err != nil {
		return err
	}
	if received.status != http.StatusOK {
		return ErrBroken.New("target %s responded to %s with status %d", address, path, received.status)
	}
	if err := json.Unmarshal(received.body, response); err != nil {
		return ErrBroken.Wrap(err, "target %s sent a malformed response to %s", address, path)
	}
	return nil
}

// cancelAttempt requests that the target cancel an attempt, without waiting for the response. Each target gets one
// cancellation call at a time; further ones wait for at most cancelTimeout.
func (c *HTTPClient) cancelAttempt(address Address, attempt string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopped {
		return
	}
	c.cancellations.Add(1)
	go func() {
		defer c.cancellations.Done()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		var response json.RawMessage
		_ = c.postJSON(ctx, purposeCancel, address, pathCancel, CancelRequest{Attempt: attempt}, &response, false)
	}()
}

func (c *HTTPClient) poolFor(address Address, purpose connPurpose) (*pool, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopped {
		return nil, ErrNotSent.New("client is stopped")
	}
	if c.pools == nil {
		c.pools = map[poolKey]*pool{}
		c.bodies = bounds.NewBodyMemory(c.BodyMemory)
	}
	c.sweep()
	key := poolKey{address: address, purpose: purpose}
	if c.pools[key] == nil {
		c.pools[key] = newPool(connectionLimits[purpose])
	}
	return c.pools[key], nil
}

// sweep closes the connections that exceeded the idle timeout, at most once per idle timeout, so that no connections to
// removed targets remain open. The caller must hold c.mutex.
func (c *HTTPClient) sweep() {
	limit := orDefault(c.IdleTimeout, defaultIdleTimeout)
	if time.Since(c.lastSweep) < limit {
		return
	}
	c.lastSweep = time.Now()
	for _, p := range c.pools {
		p.closeOlder(limit)
	}
}

func (c *HTTPClient) dial() dialFunc {
	if c.Dial != nil {
		return c.Dial
	}
	return newDialer(orDefault(c.DialTimeout, defaultDialTimeout)).DialContext
}

func orDefault[T int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
