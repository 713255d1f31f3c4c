// Package target defines the protocol between the router and the servers behind it, and its HTTP adapter.
//
//	POST /tarragon/v1/renew    body: RenewRequest, response: RenewResponse
//	POST /tarragon/v1/revoke   body: RevokeRequest, response: RevokeResponse
//	POST /tarragon/v1/cancel   body: CancelRequest; cancels a queued or running request
//	ANY  other path            a request, with the Header... headers below
//
// For a request that it did not run, a target responds with status 409 (not the owner), 429 (load shedding), 503
// (draining) or 410 (deadline passed), each with the header HeaderNotRun set to a RefusalReason.
package target

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

var (
	errNamespace = errorx.NewNamespace("target")
	// ErrNotSent reports that no byte of the request reached the target, for instance a refused connection.
	ErrNotSent = errNamespace.NewType("not_sent")
	// ErrBroken reports that the connection failed, or the response was invalid, after the request was sent. The
	// request may have run.
	ErrBroken = errNamespace.NewType("broken")
	// ErrAttemptMismatch reports a response that carries a different attempt ID than the request.
	ErrAttemptMismatch = errNamespace.NewType("crossed")
	// ErrTimeout reports that no complete response arrived in time. The request may have run.
	ErrTimeout = errNamespace.NewType("timeout")
)

// Headers of a request to a target and of its response.
const (
	// HeaderAttempt carries the attempt ID, which the target echoes in its response.
	HeaderAttempt = "Tarragon-Attempt"
	// HeaderSlot carries the slot as text; absent for unkeyed requests.
	HeaderSlot = "Tarragon-Slot"
	// HeaderFence carries the fence of the slot, in decimal.
	HeaderFence = "Tarragon-Fence"
	// HeaderKeyHash carries the hash of the key, in hexadecimal. The target refuses the request if the grant of the
	// slot excludes the hash.
	HeaderKeyHash = "Tarragon-Key-Hash"
	// HeaderTerm carries the term of the lessor as epoch.rank. It is set only on requests sent by the lessor.
	HeaderTerm = "Tarragon-Term"
	// HeaderDeadline carries the time left until the caller's deadline, in ms, for the target's own use.
	HeaderDeadline = "Tarragon-Deadline-Ms"
	// HeaderNotAfter carries the latest time at which the request may start, on the target's clock, in ns. It is set
	// only on requests sent by the lessor.
	HeaderNotAfter = "Tarragon-Not-After"
	// HeaderIncarnation carries the target's incarnation, in decimal, in every response.
	HeaderIncarnation = "Tarragon-Incarnation"
	// HeaderCold is "1" in a response from a target that is in a cold start.
	HeaderCold = "Tarragon-Cold"
	// HeaderNotRun carries a RefusalReason if the target did not run the request.
	HeaderNotRun = "Tarragon-Not-Run"
)

// RefusalReason states why a target did not run a request.
type RefusalReason string

// Reasons for which a target refuses a request.
const (
	RefusedNotOwner RefusalReason = "not-owner"
	RefusedTerm     RefusalReason = "term"
	RefusedShed     RefusalReason = "shed"
	RefusedDraining RefusalReason = "draining"
	RefusedDeadline RefusalReason = "deadline"
)

// Grant assigns a slot to a target under a fence.
type Grant struct {
	Slot  model.Slot  `json:"slot"`
	Fence model.Fence `json:"fence"`
	// Excluded lists the hashes of the keys that were split from a hash slot into slots of their own.
	Excluded []uint64 `json:"excluded,omitempty"`
}

// RenewRequest renews the lease of a target. The JSON names are short because each target receives two renewals per
// second.
type RenewRequest struct {
	Lessor model.VMID `json:"lessor"`
	Term   model.Term `json:"term"`
	// Incarnation is the incarnation of the target as known to the lessor; 0 before the first response. A target with a
	// different incarnation responds but applies neither the lease nor the grants.
	Incarnation model.Incarnation `json:"inc"`
	// ValidUntil is the end of the lease on the target's monotonic clock, in ns; 0 only reads the clock. A renewal
	// never shortens a lease.
	ValidUntil model.Instant `json:"until"`
	// GrantsVersion identifies the set of grants. If it differs from the target's version and HasGrants is false, the
	// renewal only reads the clock: a lease must never extend grants that the lessor did not list.
	GrantsVersion uint64  `json:"version"`
	HasGrants     bool    `json:"has_grants,omitempty"`
	Grants        []Grant `json:"grants,omitempty"`
}

// RenewResponse is the response to a RenewRequest.
type RenewResponse struct {
	// Accepted is false if the term of the request was lower than Term.
	Accepted bool       `json:"ok,omitempty"`
	Term     model.Term `json:"term"`
	// PreviousTerm is the term that the target held before Term. Renewals under the same term do not change it, so a
	// lessor receives it even if the first response was lost.
	PreviousTerm model.Term        `json:"previous"`
	Incarnation  model.Incarnation `json:"inc"`
	// Clock is the reading of the target's monotonic clock, in ns.
	Clock model.Instant `json:"clock"`
	// GrantsVersion is the version of the grants that the target holds.
	GrantsVersion uint64 `json:"version"`
	Cold          bool   `json:"cold,omitempty"`
	Draining      bool   `json:"draining,omitempty"`
	// Load is the number of running and queued requests as reported by the target, with some delay.
	Load int `json:"load,omitempty"`
	// Revoked lists the granted slots that the target refuses to serve because it acknowledged their revocation under
	// the same or a higher fence.
	Revoked []model.Slot `json:"revoked,omitempty"`
}

// RevokeRequest revokes slots from a target.
type RevokeRequest struct {
	Lessor model.VMID  `json:"lessor"`
	Term   model.Term  `json:"term"`
	Slots  []SlotFence `json:"slots"`
}

// SlotFence identifies a slot and the highest fence under which the target must refuse it. The request carries the
// fence because the target may no longer hold the slot when the revocation arrives and then does not know the fence.
type SlotFence struct {
	Slot  model.Slot  `json:"slot"`
	Fence model.Fence `json:"fence"`
}

// RevokeResponse is the response to a RevokeRequest. The slots are free when Accepted is true and Running is 0. From
// its first response on, the target refuses new requests for the slots until it is granted a higher fence. A target
// that revoked a split slot refuses its key under the hash slot too.
type RevokeResponse struct {
	Accepted    bool              `json:"accepted"`
	Term        model.Term        `json:"term"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Running is the number of running requests for the revoked slots.
	Running int `json:"running"`
}

// CancelRequest cancels an attempt that is queued or running.
type CancelRequest struct {
	Attempt string `json:"attempt"`
}

// Address is the HTTP address of a target, host:port.
type Address string

// Request is one attempt of a request to a target.
type Request struct {
	Attempt string
	Method  string
	// Path is the part of the path that follows the service name, and the query.
	Path   string
	Header http.Header
	Body   []byte
	// Slot is nil for an unkeyed request.
	Slot    *model.Slot
	KeyHash uint64
	Fence   model.Fence
	// Term and NotAfter are set only by the lessor.
	Term     *model.Term
	NotAfter model.Instant
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration
	// Wanted ends when nobody waits for the request any more; nil if that is not known. Until the request is sent, Do then
	// returns ErrNotSent. A caller's connection in it is checked immediately before the request is sent.
	Wanted context.Context
	// NoCancel is set for a non-idempotent request. Such a request must not be aborted partway when its caller
	// disconnects or its deadline passes.
	NoCancel bool
}

// Response is a complete response from a target.
type Response struct {
	Status      int
	Header      http.Header
	Body        []byte
	Incarnation model.Incarnation
	Cold        bool
	// NotRun is set if the target refused the request without running it.
	NotRun RefusalReason
}

// Client sends requests and lease calls to targets. Implementations are plug-ins.
type Client interface {
	// Renew renews a lease. If fresh is true, it uses a new connection.
	Renew(ctx context.Context, address Address, request RenewRequest, fresh bool) (RenewResponse, error)
	// Revoke revokes slots from a target.
	Revoke(ctx context.Context, address Address, request RevokeRequest) (RevokeResponse, error)
	// Do runs one attempt and returns the complete response, or ErrNotSent, ErrBroken, ErrAttemptMismatch or
	// ErrTimeout. If ctx or the timeout ends first, it asks the target to cancel the attempt unless Request.NoCancel is
	// set.
	Do(ctx context.Context, address Address, request Request) (Response, error)
}
