package testbed

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/front"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

const (
	// callTimeout bounds a request without a deadline. It exceeds the timeouts of all services, so that the router
	// responds before the caller gives up.
	callTimeout = 20 * time.Second
	// responseGrace is the time after its deadline for which a caller still waits for the response.
	responseGrace = time.Second
)

// Request is a request of a caller. An empty ID is replaced by a new one.
type Request struct {
	ID         string
	Tenant     model.Tenant
	Service    model.Service
	Key        string
	Path       string
	Idempotent bool
	Body       string
	// Deadline is the time that the caller allows for the request. 0 means the timeout of the service.
	Deadline time.Duration
}

// Exchange is a request with its response.
type Exchange struct {
	Request
	VM                  model.VMID
	SentAt, RespondedAt time.Time
	Status              int
	Code                result.Code
	// Outcome is the outcome that the response reports. It is "unknown" if there was no complete response.
	Outcome string
	Target  model.TargetID
	Epoch   string
	// TransportErr is the reason for a missing or incomplete response, or nil.
	TransportErr error
	// ResponseErr is the reason why a complete response is invalid, or nil: a missing code, or a body that does not
	// match the request although the code is OK.
	ResponseErr error
}

// Ran reports whether there is a complete response with the outcome that the request ran.
func (e Exchange) Ran() bool { return e.TransportErr == nil && e.Outcome == result.Ran.String() }

// String describes the exchange in one line, for failure messages.
func (e Exchange) String() string {
	return fmt.Sprintf("%s %s key %q through %s: status %d, code %d, %s, by %s, error %v, after %v",
		e.ID, e.Service, e.Key, e.VM, e.Status, e.Code, e.Outcome, e.Target, e.TransportErr, e.RespondedAt.Sub(e.SentAt).Round(time.Millisecond))
}

// Caller sends requests and records every exchange. It is safe for concurrent use.
type Caller struct {
	client    *http.Client
	mutex     sync.Mutex
	exchanges []Exchange
}

// NewCaller returns a caller that reuses its connections, as real clients do.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxWorkers}}}
}

// Exchanges returns a copy of the recorded exchanges.
func (c *Caller) Exchanges() []Exchange {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]Exchange(nil), c.exchanges...)
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends a request through an entry VM and records it.
func (c *Caller) Do(ctx context.Context, entry *Entry, request Request) Exchange {
	if request.ID == "" {
		request.ID = model.NewRequestID().String()
	}
	exchange := Exchange{Request: request, VM: entry.VM, Outcome: result.Unknown.String(), SentAt: time.Now()}
	limit := callTimeout
	if request.Deadline > 0 {
		limit = request.Deadline + responseGrace
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	exchange.TransportErr = c.call(limited, entry.CallerAddress, &exchange)
	exchange.RespondedAt = time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.exchanges = append(c.exchanges, exchange)
	return exchange
}

func (c *Caller) call(ctx context.Context, address string, exchange *Exchange) error {
	url := "http://" + address + "/v1/" + string(exchange.Service) + "/" + exchange.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader([]byte(exchange.Body))))
	if err != nil {
		return err
	}
	request.ContentLength = int64(len(exchange.Body))
	request.Header.Set(front.HeaderTenant, string(exchange.Tenant))
	request.Header.Set(front.HeaderRequestID, exchange.ID)
	request.Header.Set(front.HeaderIdempotent, strconv.FormatBool(exchange.Idempotent))
	if exchange.Deadline > 0 {
		request.Header.Set(front.HeaderDeadline, strconv.FormatInt(exchange.Deadline.Milliseconds(), 10))
	}
	if exchange.Key != "" {
		request.Header.Set(front.HeaderKey, exchange.Key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	exchange.read(response, body)
	return nil
}

// read copies the response headers into the exchange and verifies the body of a successful response.
func (e *Exchange) read(response *http.Response, body []byte) {
	e.Status = response.StatusCode
	e.Outcome = response.Header.Get(front.HeaderOutcome)
	e.Target = model.TargetID(response.Header.Get(front.HeaderTarget))
	e.Epoch = response.Header.Get(front.HeaderEpoch)
	code, err := strconv.Atoi(response.Header.Get(front.HeaderCode))
	if err != nil {
		e.ResponseErr = err
		return
	}
	e.Code = result.Code(code)
	if e.Code == result.OK {
		e.ResponseErr = standin.VerifyResponse(body, e.ID, []byte(e.Body))
	}
}
