package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// Request is a caller's request as received by the front end.
type Request struct {
	Tenant  model.Tenant
	Service model.Service
	// Key is empty for requests without a key.
	Key string
	// RequestID is nil if the caller sent none.
	RequestID  *model.RequestID
	Idempotent bool
	Method     string
	// Path is the URL path after the service name, with the query.
	Path   string
	Header http.Header
	Body   []byte
	// Received is the time at which the first byte of the request was read.
	Received time.Time
	// Deadline is the caller's deadline or Received plus the service's timeout.
	Deadline time.Time
}

// Response is the complete response to a caller.
type Response struct {
	Code    result.Code
	Outcome result.Outcome
	// Status is the HTTP status for the caller.
	Status int
	Header http.Header
	Body   []byte
	Target model.TargetID
	Fence  model.Fence
	// HomeRegions is set only with the code result.WrongRegion.
	HomeRegions []model.Region
}

// Preview is the part of a request that is known before its body is read.
type Preview struct {
	Tenant     model.Tenant
	Service    model.Service
	Key        string
	RequestID  *model.RequestID
	Idempotent bool
	Received   time.Time
}

// Handler serves callers' requests. Dispatcher implements it.
type Handler interface {
	// Precheck checks a request before its body is read. It returns nil if the body may be read, otherwise the
	// response.
	Precheck(ctx context.Context, preview Preview) *Response
	// Timeout returns the default request timeout of a service.
	Timeout(service model.Service) time.Duration
	// Handle processes a request and returns its final response by the request's deadline.
	Handle(ctx context.Context, request Request) Response
}
