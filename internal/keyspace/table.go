// Package keyspace decides which target owns which keys of a keyed service, and when keys may be given to another one.
//
// The assignment is one record in the platform's store. It is replaced only under the condition that nobody else has
// replaced it, so the offset of the record orders all assignments and gives the fence of the ranges that it changes.
// One VM at a time, the leader, renews the targets' grants and moves ranges. The package is a deterministic state
// machine over typed events and an injected clock and does no I/O.
package keyspace

import (
	"sort"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Keys is the number of keys of a service, numbered from 0.
const Keys = 65536

var (
	errNamespace = errorx.NewNamespace("keyspace")
	// ErrTable reports an assignment record that cannot be read.
	ErrTable = errNamespace.NewType("table")
)

// Holder is a life of a target that may hold keys, and where it is reached.
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
	// Fence rises with the offset of the record that gave the range to its owner.
	Fence uint64
	// Ready is true once the owner has taken the keys.
	Ready bool
	// Previous lists the lives that may still hold keys of the range under a lower fence.
	Previous []Holder
}

// Table is the assignment of all keyed services.
type Table struct {
	// Offset is the position of the record in the store; it is not part of the record.
	Offset uint64
	// Leader is the process that may renew grants and replace the table.
	Leader string
	// LeaderAddress is where other VMs report the load of keys, IP:port.
	LeaderAddress string
	// Nonce identifies the write, so that the writer recognizes a write whose answer it lost.
	Nonce uint64
	// Resigned is true if the leader has stopped making grants.
	Resigned bool
	Ranges   []Range
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

// Clone returns a copy that shares nothing with the table.
func (t *Table) Clone() *Table {
	copied := *t
	copied.Ranges = make([]Range, len(t.Ranges))
	for i, r := range t.Ranges {
		r.Previous = append([]Holder(nil), r.Previous...)
		copied.Ranges[i] = r
	}
	return &copied
}
