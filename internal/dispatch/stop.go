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
	// ErrStopTimeout reports that requests were still running when the time for a graceful stop ended.
	ErrStopTimeout = errNamespace.NewType("stop_timeout")
)

// Stop refuses new requests, waits for those in flight, hands the at-most-once table to the next lessors and ends all
// goroutines. It returns ErrStopTimeout if ctx ends first; requests still running are then handed over as unknown.
// Further calls only wait.
func (d *Dispatcher) Stop(ctx context.Context) error {
	first := d.life.stop()
	err := d.life.wait(ctx)
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

// handOver ends the role as the sender for all slots and sends their tables.
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

// handOverLease sends the tables of those slots that the successor's region may see.
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
		// Without its handover the successor keeps its horizon, which is safe.
		_ = d.Sender.Send(successor, message.Message{Handover: &handover})
	}
}
