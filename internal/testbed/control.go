package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/admin"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// controlTimeout bounds one call to a stand-in or to an admin endpoint.
const controlTimeout = 5 * time.Second

// settledTime is the time without a move of a slot after which a placement counts as settled. It exceeds the duration
// of a move.
const settledTime = 1500 * time.Millisecond

// SetLogFault sets the fault of the given streams of the log: down, up, slow, or responses that are lost after the
// write. The VM list, which is in the same store, stays available.
func (c *Cluster) SetLogFault(ctx context.Context, fault standin.StoreFault, streams ...record.Stream) error {
	for _, stream := range streams {
		fault.Topic = platform.Topic(stream)
		if err := c.post(ctx, c.StoreURL+standin.ControlPath, fault); err != nil {
			return err
		}
	}
	return nil
}

// LogTotals returns the counters of the store.
func (c *Cluster) LogTotals(ctx context.Context) (standin.StoreTotals, error) {
	var totals standin.StoreTotals
	return totals, c.get(ctx, c.StoreURL+standin.TotalsPath, &totals)
}

// register adds an entry VM to the VM list.
func (c *Cluster) register(ctx context.Context, e *Entry) error {
	put, err := standin.Registration{VM: e.VM, Service: platform.EntryService, Address: e.PeerAddress, Zone: e.Zone}.Register()
	if err != nil {
		return err
	}
	return c.post(ctx, c.StoreURL+standin.PutPath, put)
}

// unregister removes a VM from the VM list.
func (c *Cluster) unregister(ctx context.Context, vm model.VMID) error {
	return c.post(ctx, c.StoreURL+standin.PutPath, standin.Unregister(vm))
}

// ControlTarget changes the behavior of a target: it makes the target freeze, stall, drain, shed load or crash, or
// begins a cold start.
func (c *Cluster) ControlTarget(ctx context.Context, id model.TargetID, change standin.TargetControl) error {
	return c.post(ctx, "http://"+string(c.Targets[id].Inventory.Address)+"/control", change)
}

// SetPartitioned cuts the network between the entry VMs of a zone on one side and all other entry VMs and the log on
// the other, or restores it. Targets stay reachable from all entry VMs.
func (c *Cluster) SetPartitioned(zone model.Zone, partitioned bool) error {
	c.zoneLogs[zone].SetBlocked(partitioned)
	entries := c.Entries()
	for _, from := range entries {
		var unreachable bytes.Buffer
		for _, to := range entries {
			if partitioned && (from.Zone == zone) != (to.Zone == zone) {
				fmt.Fprintln(&unreachable, to.VM)
			}
		}
		if err := os.WriteFile(from.cutFile, unreachable.Bytes(), fileMode); err != nil {
			return err
		}
	}
	return nil
}

// Owner queries an entry VM for the owner of a key.
func (c *Cluster) Owner(ctx context.Context, e *Entry, service model.Service, tenant model.Tenant, key string) (admin.Owner, error) {
	query := url.Values{"service": {string(service)}, "key": {key}, "tenant": {string(tenant)}}
	var response admin.Owner
	return response, c.get(ctx, "http://"+e.AdminAddress+"/admin/owner?"+query.Encode(), &response)
}

// Status queries an entry VM for its status.
func (c *Cluster) Status(ctx context.Context, e *Entry) (admin.Status, error) {
	var response admin.Status
	return response, c.get(ctx, "http://"+e.AdminAddress+"/admin/status", &response)
}

// AwaitPlacement waits until every target of a keyed service owns a slot and no slot has moved for settledTime. The
// first placement uses only the targets that are already up; slots move to the other targets afterwards.
func (c *Cluster) AwaitPlacement(ctx context.Context, limit time.Duration) error {
	return c.awaitSettled(ctx, limit, c.isPlaced)
}

// awaitSettled waits until the placement that the first entry VM reports is acceptable and no slot has moved for
// settledTime.
func (c *Cluster) awaitSettled(ctx context.Context, limit time.Duration, accept func(admin.Status) bool) error {
	var offset model.Offset
	since := time.Now()
	return Await(ctx, limit, "a settled placement", func() bool {
		status, err := c.Status(ctx, c.Entries()[0])
		if err != nil || status.AssignOffset != offset || !accept(status) {
			offset, since = status.AssignOffset, time.Now()
		}
		return time.Since(since) > settledTime
	})
}

func (c *Cluster) isPlaced(status admin.Status) bool {
	for _, reported := range status.Targets {
		if reported.Slots == 0 && c.State.Services[reported.Service].Keyed {
			return false
		}
	}
	return true
}

// Lessor returns the entry VM that renews the lease of a target, or nil if no entry VM reports that it does.
func (c *Cluster) Lessor(ctx context.Context, id model.TargetID) *Entry {
	for _, e := range c.Entries() {
		status, err := c.Status(ctx, e)
		if err != nil {
			continue
		}
		for _, reported := range status.Targets {
			if reported.ID == id && reported.LeaseHeldHere {
				return e
			}
		}
	}
	return nil
}

func (c *Cluster) post(ctx context.Context, address string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(data))
	if err != nil {
		return err
	}
	return c.call(request, nil)
}

func (c *Cluster) get(ctx context.Context, address string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	return c.call(request, into)
}

// call sends a control request and decodes the JSON response into into, unless that is nil.
func (c *Cluster) call(request *http.Request, into any) error {
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s responded with status %d", request.URL.Path, response.StatusCode)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(into)
}
