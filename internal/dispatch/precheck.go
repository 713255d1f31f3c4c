package dispatch

import (
	"context"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// Precheck checks a request before its body is read. It returns nil if the body may be read, otherwise the response.
func (d *Dispatcher) Precheck(ctx context.Context, preview Preview) *Response {
	request := Request{
		Tenant: preview.Tenant, Service: preview.Service, Key: preview.Key, RequestID: preview.RequestID,
		Idempotent: preview.Idempotent, Received: preview.Received,
		Deadline: d.Clock.Wall().Add(closeTimeout),
	}
	code := d.validate(&request)
	if code == result.OK && d.lifecycle.isStopping() {
		code = result.Draining
	}
	if code == result.OK {
		code = d.Admission.Allow(request.Tenant, request.Service)
	}
	if code == result.OK {
		return nil
	}
	response := d.finalResponse(ctx, &request, responseOf(codeReply("", code)))
	return &response
}

// validate returns result.OK, or the code that explains why the request may not be served here now. The tenant's home
// regions are checked before its other properties and the service.
func (d *Dispatcher) validate(request *Request) result.Code {
	table := d.current.Load().table
	if !table.Ready {
		return result.NotReady
	}
	tenant := table.Tenants[request.Tenant]
	if tenant == nil {
		return result.UnknownTenant
	}
	if !tenant.Class.Allows(table.Region) {
		return result.WrongRegion
	}
	if tenant.Suspended {
		return result.TenantSuspended
	}
	service := table.Services[request.Service]
	if service == nil {
		return result.UnknownService
	}
	if !request.Idempotent && request.RequestID == nil {
		return result.RequestIDRequired
	}
	if service.Keyed && request.Key == "" {
		return result.KeyRequired
	}
	return result.OK
}

// homeRegions returns the home regions of a tenant, for the response with result.WrongRegion.
func (d *Dispatcher) homeRegions(tenant model.Tenant) []model.Region {
	if known := d.current.Load().table.Tenants[tenant]; known != nil {
		return known.HomeRegions
	}
	return nil
}

// timeToDeadline returns the time until the caller's deadline.
func (d *Dispatcher) timeToDeadline(request *Request) time.Duration {
	return request.Deadline.Sub(d.Clock.Wall())
}
