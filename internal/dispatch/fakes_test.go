package dispatch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

const (
	keyed   = model.Service("draft-review")
	unkeyed = model.Service("alert-desk")
	tenant  = model.Tenant("harbor-fund")
	self    = model.VMID("vm-a")
	other   = model.VMID("vm-b")
	remote  = model.VMID("vm-far")
)

// fakeClock reads the virtual time of the synctest bubble. Its wall clock is off by skew.
type fakeClock struct {
	origin time.Time
	skew   time.Duration
}

func (c fakeClock) Now() model.Instant { return model.Instant(time.Since(c.origin)) }
func (c fakeClock) Wall() time.Time    { return time.Now().Add(c.skew) }

// fakeClient responds with the results of its functions and records the requests.
type fakeClient struct {
	mu    sync.Mutex
	sent  []target.Request
	do    func(ctx context.Context, address target.Address, request target.Request, count int) (target.Response, error)
	renew func() (target.RenewResponse, error)
}

func (c *fakeClient) Do(ctx context.Context, address target.Address, request target.Request) (target.Response, error) {
	c.mu.Lock()
	c.sent = append(c.sent, request)
	count := len(c.sent)
	c.mu.Unlock()
	if c.do == nil {
		return target.Response{Status: 200}, nil
	}
	return c.do(ctx, address, request, count)
}

func (c *fakeClient) Renew(context.Context, target.Address, target.RenewRequest, bool) (target.RenewResponse, error) {
	return c.renew()
}

func (c *fakeClient) Revoke(context.Context, target.Address, target.RevokeRequest) (target.RevokeResponse, error) {
	return target.RevokeResponse{}, nil
}

func (c *fakeClient) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sent)
}

// envelope is one message with its receiver.
type envelope struct {
	to model.VMID
	message.Message
}

// fakeSender records messages. onSend may return an error or reply to them.
type fakeSender struct {
	mu     sync.Mutex
	sent   []envelope
	onSend func(to model.VMID, m message.Message) error
}

func (s *fakeSender) Send(to model.VMID, m message.Message) error {
	s.mu.Lock()
	s.sent = append(s.sent, envelope{to: to, Message: m})
	s.mu.Unlock()
	if s.onSend == nil {
		return nil
	}
	return s.onSend(to, m)
}

// rig is a Dispatcher with a fake client, sender and clock.
type rig struct {
	*Dispatcher
	client *fakeClient
	sender *fakeSender
	clock  fakeClock
}

func newRig(t *testing.T, change func(*Options)) *rig {
	r := &rig{client: &fakeClient{}, sender: &fakeSender{}, clock: fakeClock{origin: time.Now().Add(-time.Hour)}}
	options := Options{Client: r.client, Sender: r.sender, Clock: r.clock, Workers: 4}
	if change != nil {
		change(&options)
	}
	r.Dispatcher = New(options)
	t.Cleanup(func() { _ = r.Stop(context.Background()) })
	return r
}

func checkedTarget(id model.TargetID, service model.Service, lessor model.VMID) *route.Target {
	return &route.Target{
		ID: id, Service: service, Zone: "seacoast-a", Region: "nh-seacoast", Address: target.Address(id),
		Fencing: route.FencingChecked, InService: true,
		Status: &route.Status{Incarnation: 5, Serving: true, Limit: 4, Lessor: lessor},
	}
}

var keySlot = model.Slot{Service: keyed, Class: model.AnyRegion}

// newTable returns a table in which self routes to one keyed and two unkeyed targets with the given lessor.
func (r *rig) newTable(lessor model.VMID) *route.Table {
	desk1, desk2 := checkedTarget("desk-1", unkeyed, lessor), checkedTarget("desk-2", unkeyed, lessor)
	review := checkedTarget("review-1", keyed, lessor)
	table := &route.Table{
		VM: self, Zone: "seacoast-a", Region: "nh-seacoast", Ready: true,
		Services: map[model.Service]*route.Service{
			keyed:   {Name: keyed, Keyed: true, Slots: 1, Targets: []*route.Target{review}},
			unkeyed: {Name: unkeyed, Slots: 1, Targets: []*route.Target{desk1, desk2}},
		},
		Tenants:     map[model.Tenant]*route.Tenant{tenant: {Name: tenant, Class: model.AnyRegion}},
		Targets:     map[model.TargetID]*route.Target{"desk-1": desk1, "desk-2": desk2, "review-1": review},
		Owners:      map[model.Slot]route.Owner{keySlot: {Slot: keySlot, Fence: 9, Target: review}},
		PeerRegions: map[model.VMID]model.Region{self: "nh-seacoast", other: "nh-seacoast", remote: "mass-central"},
	}
	if lessor == self {
		table.Leases = map[model.TargetID]route.Lease{"review-1": r.lease(9, 4)}
	}
	return table
}

func (r *rig) lease(fence model.Fence, limit int) route.Lease {
	since := r.clock.Now().Add(-10 * time.Minute)
	return route.Lease{
		Term: model.Term{Epoch: 3}, LocalEnd: r.clock.Now().Add(time.Minute), ValidUntil: 77, Limit: limit,
		Slots: map[model.Slot]route.SlotLease{keySlot: {Fence: fence, Since: since}},
	}
}

func (r *rig) request(service model.Service, idempotent bool) Request {
	now := r.clock.Wall()
	request := Request{
		Tenant: tenant, Service: service, Key: "k", Idempotent: idempotent, Method: "POST", Path: "/n",
		Received: now, Deadline: now.Add(5 * time.Second),
	}
	if !idempotent {
		id := model.RequestIDAt(now, 4)
		request.RequestID = &id
	}
	return request
}

// forwarded returns a request that other forwards to self as the lessor.
func (r *rig) forwarded(idempotent bool) *message.Forward {
	request := r.request(keyed, idempotent)
	return &message.Forward{
		Attempt: "x", Tenant: tenant, Service: keyed, Target: "review-1", Slot: &keySlot, KeyHash: 11, Fence: 9,
		RequestID: request.RequestID, Idempotent: idempotent, ReceivedMillis: request.Received.UnixMilli(), Timeout: 3 * time.Second,
	}
}
