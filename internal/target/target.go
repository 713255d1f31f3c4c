// Package target defines the protocol between the router and the servers behind it, and its HTTP adapter.
//
//	POST /tarragon/v1/renew    body: RenewRequest, answer: RenewReply
//	POST /tarragon/v1/revoke   body: RevokeRequest, answer: RevokeReply
//	POST /tarragon/v1/cancel   body: CancelRequest; ends a running request early
//	ANY  other path            a request, with the Header... headers below
//
// A target answers a request that it did not run with status 409 (not the owner), 429 (sheds load), 503 (draining) or 410 (deadline passed),
// each with the header HeaderNotRun set to a RefusalReason.
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
	// ErrBroken reports that the connection broke after the request was sent; it may have run.
	ErrBroken = errNamespace.NewType("broken")
	// ErrAttemptMismatch reports an answer that carries another attempt ID.
	ErrAttemptMismatch = errNamespace.NewType("crossed")
	// ErrTimeout reports that no whole answer came in time; the request may have run.
	ErrTimeout = errNamespace.NewType("timeout")
)

// Headers of a request to a target and of its answer.
const (
	// HeaderAttempt carries the attempt ID, which the target echoes in its answer.
	HeaderAttempt = "Tarragon-Attempt"
	// HeaderSlot carries the slot as text; empty for unkeyed requests.
	HeaderSlot = "Tarragon-Slot"
	// HeaderFence carries the fence of the slot, in decimal.
	HeaderFence = "Tarragon-Fence"
	// HeaderKeyHash carries the hash of the key, in hexadecimal; the target refuses it if the slot's grant excludes it.
	HeaderKeyHash = "Tarragon-Key-Hash"
	// HeaderTerm carries the term of the lessor as epoch.rank; only on requests sent by the lessor.
	HeaderTerm = "Tarragon-Term"
	// HeaderDeadline carries the time left, in ms, for the target's own use.
	HeaderDeadline = "Tarragon-Deadline-Ms"
	// HeaderNotAfter carries the latest start on the target's clock, in ns; only on requests sent by the lessor.
	HeaderNotAfter = "Tarragon-Not-After"
	// HeaderIncarnation carries the target's incarnation in every answer, in decimal.
	HeaderIncarnation = "Tarragon-Incarnation"
	// HeaderCold is "1" in an answer of a target that is in a cold start.
	HeaderCold = "Tarragon-Cold"
	// HeaderNotRun carries a RefusalReason when the target did not run the request.
	HeaderNotRun = "Tarragon-Not-Run"
)

// RefusalReason says why a target did not run a request.
type RefusalReason string

// Reasons for a refusal.
const (
	RefusedNotOwner RefusalReason = "not-owner"
	RefusedTerm     RefusalReason = "term"
	RefusedShed     RefusalReason = "shed"
	RefusedDraining RefusalReason = "draining"
	RefusedDeadline RefusalReason = "deadline"
)

// Grant gives a target a slot under a fence.
type Grant struct {
	Slot  model.Slot  `json:"slot"`
	Fence model.Fence `json:"fence"`
	// Excluded lists the hashes of keys of a hash slot that have slots of their own.
	Excluded []uint64 `json:"excluded,omitempty"`
}

// RenewRequest renews the lease of a target. Names in renewals are short, because each target gets two a second.
type RenewRequest struct {
	Lessor model.VMID `json:"lessor"`
	Term   model.Term `json:"term"`
	// Incarnation is the incarnation that the lessor believes it talks to; 0 before the first answer. A target with another
	// incarnation answers but takes neither the lease nor the grants.
	Incarnation model.Incarnation `json:"inc"`
	// ValidUntil is the end of the lease on the target's monotonic clock, in ns; 0 reads the clock only. A renewal never
	// makes a lease shorter.
	ValidUntil model.Instant `json:"until"`
	// GrantsVersion identifies the set of grants. If it differs from the target's and HasGrants is false, the target reads the
	// clock only: a lease must never extend grants that the lessor did not name.
	GrantsVersion uint64  `json:"version"`
	HasGrants     bool    `json:"has_grants,omitempty"`
	Grants        []Grant `json:"grants,omitempty"`
}

// RenewReply answers a renewal.
type RenewReply struct {
	// Accepted is false if the term was lower than Term.
	Accepted bool       `json:"ok,omitempty"`
	Term     model.Term `json:"term"`
	// PreviousTerm is the term that the target held before Term. Renewals under the same term do not change it, so a lessor
	// learns it also if the first answer was lost.
	PreviousTerm  model.Term        `json:"previous"`
	Incarnation   model.Incarnation `json:"inc"`
	Clock         model.Instant     `json:"clock"`
	GrantsVersion uint64            `json:"version"`
	Cold          bool              `json:"cold,omitempty"`
	Draining      bool              `json:"draining,omitempty"`
	// Load is the number of running and queued requests as the target reports it; it lags.
	Load int `json:"load,omitempty"`
	// Revoked lists granted slots that the target refuses because it acknowledged their revocation under the same or a
	// higher fence.
	Revoked []model.Slot `json:"revoked,omitempty"`
}

// RevokeRequest takes slots from a target.
type RevokeRequest struct {
	Lessor model.VMID  `json:"lessor"`
	Term   model.Term  `json:"term"`
	Slots  []SlotFence `json:"slots"`
}

// SlotFence names a slot and the highest fence under which the target must refuse it. The target may not hold the slot any
// more when the revocation arrives, so it cannot know the fence by itself.
type SlotFence struct {
	Slot  model.Slot  `json:"slot"`
	Fence model.Fence `json:"fence"`
}

// RevokeReply answers a revocation. The slots are free when Accepted is true and Running is 0; the target refuses new
// requests for them from its first answer on, and keeps refusing until it is granted a higher fence. A target that revoked
// a split slot refuses its key under the hash slot too.
type RevokeReply struct {
	Accepted    bool              `json:"accepted"`
	Term        model.Term        `json:"term"`
	Incarnation model.Incarnation `json:"incarnation"`
	Running     int               `json:"running"`
}

// CancelRequest ends an attempt that is queued or running.
type CancelRequest struct {
	Attempt string `json:"attempt"`
}

// Address is the HTTP address of a target, host:port.
type Address string

// Request is one attempt of a request to a target.
type Request struct {
	Attempt string
	Method  string
	// Path is the path and query behind the service name.
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
	// NoCancel is set for a non-idempotent request: it may not be ended half way when its caller or deadline is gone.
	NoCancel bool
}

// Response is a whole answer of a target.
type Response struct {
	Status      int
	Header      http.Header
	Body        []byte
	Incarnation model.Incarnation
	Cold        bool
	// NotRun is set when the target refused the request without running it.
	NotRun RefusalReason
}

// Client talks to targets. Implementations are plug-ins.
type Client interface {
	// Renew renews a lease. fresh asks for a new connection.
	Renew(ctx context.Context, address Address, request RenewRequest, fresh bool) (RenewReply, error)
	// Revoke takes slots from a target.
	Revoke(ctx context.Context, address Address, request RevokeRequest) (RevokeReply, error)
	// Do runs one attempt and returns the whole answer, or ErrNotSent, ErrBroken, ErrCrossed or ErrTimeout. When ctx or
	// the timeout ends first, it asks the target to cancel the attempt unless Request.NoCancel is set.
	Do(ctx context.Context, address Address, request Request) (Response, error)
}
