package target

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
)

// HTTPID is the plug-in ID of HTTPClient.
const HTTPID kernel.ID = "target.http"

const (
	defaultMaxBody     = 8 << 20
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 30 * time.Second
	// cancelTimeout bounds a cancellation, which is best effort.
	cancelTimeout = 500 * time.Millisecond

	pathRenew  = "/tarragon/v1/renew"
	pathRevoke = "/tarragon/v1/revoke"
	pathCancel = "/tarragon/v1/cancel"
)

func init() {
	kernel.Register(HTTPID, func() any { return &HTTPClient{} })
}

// HTTPClient is the plug-in target.http. The zero value is ready for use. It never sends a request twice.
type HTTPClient struct {
	// MaxBody bounds the body of an answer, in bytes; 0 means 8 MiB.
	MaxBody int64
	// DialTimeout bounds the set-up of a connection; 0 means 1 s.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept; 0 means 30 s.
	IdleTimeout time.Duration
	// Dial opens connections; nil means TCP. Tests set it to run without sockets.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mutex   sync.Mutex
	pools   map[poolKey]*pool
	swept   time.Time
	stopped bool
	cancels sync.WaitGroup
}

type poolKey struct {
	address Address
	lane    lane
}

var _ Client = (*HTTPClient)(nil)

// Renew renews a lease. fresh closes the unused connections for renewals and opens a new one.
func (c *HTTPClient) Renew(ctx context.Context, address Address, request RenewRequest, fresh bool) (RenewReply, error) {
	var reply RenewReply
	err := c.control(ctx, laneRenew, address, pathRenew, request, &reply, fresh)
	return reply, err
}

// Revoke takes slots from a target.
func (c *HTTPClient) Revoke(ctx context.Context, address Address, request RevokeRequest) (RevokeReply, error) {
	var reply RevokeReply
	err := c.control(ctx, laneRevoke, address, pathRevoke, request, &reply, false)
	return reply, err
}

// Do runs one attempt, as Client describes. When ctx or the timeout ends after the request was written, it returns
// ErrTimeout without waiting for the cancellation.
func (c *HTTPClient) Do(ctx context.Context, address Address, attempt Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, attempt.Timeout)
	defer cancel()
	request, err := newRequest(ctx, address, attempt)
	if err != nil {
		return Response{}, err
	}
	matches := func(received answer) bool { return received.header.Get(HeaderAttempt) == attempt.Attempt }
	received, err := c.send(ctx, laneRequest, address, request, false, matches)
	if err != nil {
		if errorx.IsOfType(err, ErrTimeout) && !attempt.NoCancel {
			c.cancelAttempt(address, attempt.Attempt)
		}
		return Response{}, err
	}
	return newResponse(received), nil
}

// Stop closes unused connections and waits for cancellations until ctx ends.
func (c *HTTPClient) Stop(ctx context.Context) error {
	c.mutex.Lock()
	c.stopped = true
	pools := c.pools
	c.pools = nil
	c.mutex.Unlock()
	for _, unused := range pools {
		unused.close()
	}
	done := make(chan struct{})
	go func() {
		c.cancels.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// send runs one exchange on a connection of the lane. A connection is kept only after a whole answer that matches.
func (c *HTTPClient) send(ctx context.Context, in lane, address Address, request *http.Request, fresh bool, matches func(answer) bool) (answer, error) {
	encoded, err := encode(request)
	if err != nil {
		return answer{}, ErrNotSent.Wrap(err, "malformed request")
	}
	connections, err := c.poolFor(address, in)
	if err != nil {
		return answer{}, err
	}
	conn, err := connections.get(ctx, c.dial(), address, orDefault(c.IdleTimeout, defaultIdleTimeout), fresh)
	if err != nil {
		return answer{}, ErrNotSent.Wrap(err, "no connection to target %s", address)
	}
	received, err := exchange(ctx, conn, request, encoded, orDefault(c.MaxBody, defaultMaxBody))
	if err != nil {
		connections.put(conn, false)
		return answer{}, err
	}
	if !matches(received) {
		connections.put(conn, false)
		return answer{}, ErrAttemptMismatch.New("answer of target %s carries another attempt ID", address)
	}
	connections.put(conn, received.reusable)
	return received, nil
}

// control sends a call of the lease protocol. It returns ErrBroken for an answer that is no valid reply.
func (c *HTTPClient) control(ctx context.Context, in lane, address Address, path string, call, reply any, fresh bool) error {
	body, err := json.Marshal(call)
	if err != nil {
		return ErrNotSent.Wrap(err, "malformed call")
	}
	request, err := newPost(ctx, http.MethodPost, "http://"+string(address)+path, body)
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	// An empty value keeps net/http from sending its own name, 32 bytes in each renewal.
	request.Header.Set("User-Agent", "")
	received, err := c.send(ctx, in, address, request, fresh, func(answer) bool { return true })
	if err != nil {
		return err
	}
	if received.status != http.StatusOK {
		return ErrBroken.New("target %s answered %s with status %d", address, path, received.status)
	}
	if err := json.Unmarshal(received.body, reply); err != nil {
		return ErrBroken.Wrap(err, "target %s answered %s with a malformed reply", address, path)
	}
	return nil
}

// cancelAttempt asks the target to end an attempt. Cancellations beyond one at a time for each target wait at most
// cancelTimeout.
func (c *HTTPClient) cancelAttempt(address Address, attempt string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopped {
		return
	}
	c.cancels.Add(1)
	go func() {
		defer c.cancels.Done()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		var reply json.RawMessage
		_ = c.control(ctx, laneCancel, address, pathCancel, CancelRequest{Attempt: attempt}, &reply, false)
	}()
}

func (c *HTTPClient) poolFor(address Address, in lane) (*pool, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopped {
		return nil, ErrNotSent.New("client is stopped")
	}
	if c.pools == nil {
		c.pools = map[poolKey]*pool{}
	}
	c.sweep()
	key := poolKey{address: address, lane: in}
	if c.pools[key] == nil {
		c.pools[key] = newPool(laneLimits[in])
	}
	return c.pools[key], nil
}

// sweep closes connections that have been idle for too long, so that targets that left keep none. The mutex is held.
func (c *HTTPClient) sweep() {
	limit := orDefault(c.IdleTimeout, defaultIdleTimeout)
	if time.Since(c.swept) < limit {
		return
	}
	c.swept = time.Now()
	for _, swept := range c.pools {
		swept.closeOlder(limit)
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
