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
	// callTimeout bounds one request of a caller. It exceeds the timeouts of all services, so that the router answers first.
	callTimeout = 20 * time.Second
	// patience is the time for which a caller waits for an answer after its deadline.
	patience = time.Second
)

// Request is a request of a caller. An empty ID gets a fresh one.
type Request struct {
	ID         string
	Tenant     model.Tenant
	Service    model.Service
	Key        string
	Path       string
	Idempotent bool
	Body       string
	// Deadline is the time that the caller grants; 0 leaves it to the service.
	Deadline time.Duration
}

// Exchange is a request with its answer.
type Exchange struct {
	Request
	VM                  model.VMID
	SentAt, RespondedAt time.Time
	Status              int
	Code                result.Code
	// Outcome is what the answer says; it is "unknown" if no whole answer came.
	Outcome string
	Target  model.TargetID
	Epoch   string
	// TransportErr is why no whole answer came, if none did.
	TransportErr error
	// ResponseErr is what is wrong with an answer that says that the request ran.
	ResponseErr error
}

// Ran reports whether the answer says that the request ran.
func (e Exchange) Ran() bool { return e.TransportErr == nil && e.Outcome == result.Ran.String() }

// String describes the exchange in one line.
func (e Exchange) String() string {
	return fmt.Sprintf("%s %s key %q through %s: status %d, code %d, %s, by %s, broken %v, after %v",
		e.ID, e.Service, e.Key, e.VM, e.Status, e.Code, e.Outcome, e.Target, e.TransportErr, e.RespondedAt.Sub(e.SentAt).Round(time.Millisecond))
}

// Caller sends requests and records each of them.
type Caller struct {
	client    *http.Client
	mutex     sync.Mutex
	exchanges []Exchange
}

// NewCaller returns a caller. It keeps connections, as apps do.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxWorkers}}}
}

// Exchanges returns a copy of the record.
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
		limit = request.Deadline + patience
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

// read takes over what an answer says.
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
