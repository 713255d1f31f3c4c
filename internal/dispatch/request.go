package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// Request is a caller's request as the front end hands it over.
type Request struct {
	Tenant  model.Tenant
	Service model.Service
	// Key is empty for requests without a key.
	Key string
	// RequestID is nil if the caller sent none.
	RequestID  *model.RequestID
	Idempotent bool
	Method     string
	// Path is the path and query behind the service name.
	Path   string
	Header http.Header
	Body   []byte
	// Received is when the first byte of the request was read.
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
	// HomeRegions is set with result.WrongRegion.
	HomeRegions []model.Region
}

// Preview is what is known of a request before its body is read.
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
	// Precheck decides on a request before its body is read. It returns nil if the body may be read.
	Precheck(ctx context.Context, preview Preview) *Response
	// Timeout returns the default deadline of a service.
	Timeout(service model.Service) time.Duration
	// Handle runs a request to its end. It returns by the request's deadline.
	Handle(ctx context.Context, request Request) Response
}
