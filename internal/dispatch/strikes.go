package dispatch

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

func (d *Dispatcher) fingerprint(tenant model.Tenant, service model.Service, method, path string, body []byte) uint64 {
	return d.Quarantine.Fingerprint(tenant, service, method, path, body)
}

// isQuarantined reports whether a request may not be sent because it crashed targets since it was allowed.
func (d *Dispatcher) isQuarantined(f *message.Forward) bool {
	fingerprint := d.fingerprint(f.Tenant, f.Service, f.Method, f.Path, f.Body)
	return d.Quarantine.Blocks(d.Clock.Now(), fingerprint)
}

// crashed reports whether a target whose connection broke has a new incarnation or refuses new connections. It queries
// the incarnation with a renewal of term 0, which only reads the target's clock and grants nothing.
func (d *Dispatcher) crashed(t *route.Target) bool {
	if t.Status == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(d.base, crashProbeTimeout)
	defer cancel()
	probe := target.RenewRequest{Lessor: d.current.Load().table.VM, Incarnation: t.Status.Incarnation}
	response, err := d.Client.Renew(ctx, t.Address, probe, true)
	if err != nil {
		return errorx.IsOfType(err, target.ErrNotSent)
	}
	return response.Incarnation != t.Status.Incarnation
}

// recordStrike counts a request that crashed a target and notifies the peers in this region.
func (d *Dispatcher) recordStrike(f *message.Forward, id model.TargetID) {
	fingerprint := d.fingerprint(f.Tenant, f.Service, f.Method, f.Path, f.Body)
	d.Quarantine.Strike(d.Clock.Now(), fingerprint, id)
	d.Observer.Strike(id)
	table := d.current.Load().table
	for peer, region := range table.PeerRegions {
		if peer == table.VM || region != table.Region {
			continue
		}
		// A lost message is acceptable: the peer still counts its own strikes.
		_ = d.Sender.Send(peer, message.Message{Strike: &message.Strike{Fingerprint: fingerprint, Target: id}})
	}
}

// onStrike counts a strike that a peer in this region reports. Reports from other VMs are ignored.
func (d *Dispatcher) onStrike(from model.VMID, s *message.Strike) {
	table := d.current.Load().table
	if region, known := table.PeerRegions[from]; !known || region != table.Region {
		return
	}
	d.Quarantine.Strike(d.Clock.Now(), s.Fingerprint, s.Target)
}
