package dispatch

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

var (
	errNamespace = errorx.NewNamespace("dispatch")
	// ErrStopTimeout means that requests were still running when the time for a graceful stop ended.
	ErrStopTimeout = errNamespace.NewType("stop_timeout")
)

// Stop rejects new requests, waits for those in flight, hands the at-most-once table over to the next lessors and ends
// all goroutines. If ctx ends first, it hands the requests that are still running over as unknown and returns
// ErrStopTimeout. Further calls only wait.
func (d *Dispatcher) Stop(ctx context.Context) error {
	first := d.lifecycle.stop()
	err := d.lifecycle.wait(ctx)
	if first {
		d.handOver()
		d.cancel()
		d.pool.stop()
	}
	if err != nil {
		return ErrStopTimeout.Wrap(err, "requests are still running")
	}
	return nil
}

// handOver sends the at-most-once tables of all leases to the successors and stops covering their slots.
func (d *Dispatcher) handOver() {
	d.tableMu.Lock()
	defer d.tableMu.Unlock()
	d.exported = true
	table := d.current.Load().table
	for id, lease := range table.Leases {
		d.handOverLease(table, d.Successors.Successor(id), lease)
	}
	for slot := range d.coverage {
		d.Dedup.Uncover(slot)
	}
	clear(d.coverage)
}

// handOverLease sends the successor the tables of those slots whose class allows the successor's region.
func (d *Dispatcher) handOverLease(table *route.Table, successor model.VMID, lease route.Lease) {
	region, known := table.PeerRegions[successor]
	if !known {
		return
	}
	slots := make([]model.Slot, 0, len(lease.Slots))
	for _, slot := range slotsOf(lease) {
		if slot.Class.Allows(region) {
			slots = append(slots, slot)
		}
	}
	for _, handover := range d.Dedup.Export(slots, lease.Term) {
		// If the handover is lost, the successor keeps its horizon, which is safe.
		_ = d.Sender.Send(successor, message.Message{Handover: &handover})
	}
}
