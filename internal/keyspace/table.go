// Package keyspace assigns the keys of keyed services to targets and decides when a key may move to another target.
//
// The assignment is a single record in the platform's store, replaced by conditional writes that fail if another VM has
// replaced it in the meantime. The offset of the record therefore orders all assignments, and the fences of the ranges
// that a record changes are derived from it. One VM at a time, the leader, renews the targets' grants and moves ranges.
// The package is a deterministic state machine over typed events and an injected clock and does no I/O.
package keyspace

import (
	"sort"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Keys is the number of keys of a service, numbered from 0.
const Keys = 65536

var (
	errNamespace = errorx.NewNamespace("keyspace")
	// ErrTable reports an assignment record or delta that cannot be encoded, decoded or applied.
	ErrTable = errNamespace.NewType("table")
)

// Holder is an incarnation of a target that may hold keys, with its address.
type Holder struct {
	_           struct{} `cbor:",toarray"`
	Incarnation fleet.Incarnation
	Address     string
}

// Range assigns the keys From..To, both inclusive, to one target.
type Range struct {
	Service model.Service
	From    int
	To      int
	Owner   Holder
	// Fence increases with the position of the record that assigned the range to its owner, see fenceAt.
	Fence uint64
	// Ready is true once the owner has accepted a grant of the range.
	Ready bool
	// Previous lists the incarnations that may still hold keys of the range under a lower fence.
	Previous []Holder
}

// Table is the assignment of all keyed services.
type Table struct {
	// Offset is the position of the record in the store (model.PositionAt); only its era is part of the record.
	Offset uint64
	// Leader is the process that may renew grants and replace the table.
	Leader string
	// LeaderAddress is where other VMs report the load of keys, IP:port.
	LeaderAddress string
	// Nonce identifies the write, so that the writer recognizes its own record if the response to the write was lost.
	Nonce uint64
	// Resigned is true if the leader has given up leadership and makes no more grants.
	Resigned bool
	// FormerGrants is for how long after a resignation the leaders before the resigned one may still make grants; 0 if none
	// can. It is not set in other tables.
	FormerGrants time.Duration
	// Unconfirmed is true while leaders of earlier eras of the store that this table does not know may still have made grants and
	// moved keys. A process that replaces the leader must take all keys for held by somebody unknown.
	Unconfirmed bool
	Ranges      []Range
}

func (t *Table) sort() {
	sort.Slice(t.Ranges, func(i, j int) bool {
		a, b := &t.Ranges[i], &t.Ranges[j]
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		return a.From < b.From
	})
}

// Find returns the range that holds a key of a service, or nil.
func (t *Table) Find(service model.Service, key int) *Range {
	i := sort.Search(len(t.Ranges), func(i int) bool {
		r := &t.Ranges[i]
		return r.Service > service || r.Service == service && r.To >= key
	})
	if i == len(t.Ranges) || t.Ranges[i].Service != service || t.Ranges[i].From > key {
		return nil
	}
	return &t.Ranges[i]
}

// Clone returns a deep copy of the table.
func (t *Table) Clone() *Table {
	copied := *t
	copied.Ranges = make([]Range, len(t.Ranges))
	for i, r := range t.Ranges {
		r.Previous = append([]Holder(nil), r.Previous...)
		copied.Ranges[i] = r
	}
	return &copied
}
