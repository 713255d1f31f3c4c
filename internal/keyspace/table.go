// Package keyspace decides which target owns which keys of a keyed service, and when keys may be given to another one.
//
// The assignment is one record in the platform's store. It is replaced only under the condition that nobody else has
// replaced it, so the offset of the record orders all assignments and gives the fence of the ranges that it changes.
// One VM at a time, the leader, renews the targets' grants and moves ranges. The package is a deterministic state
// machine over typed events and an injected clock and does no I/O.
package keyspace

import (
	"sort"

	"github.com/fxamacker/cbor/v2"
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
	Life    fleet.Life `cbor:"1,keyasint"`
	Address string     `cbor:"2,keyasint"`
}

// Range assigns the keys From..To, both inclusive, to one target.
type Range struct {
	Service model.Service `cbor:"1,keyasint"`
	From    int           `cbor:"2,keyasint"`
	To      int           `cbor:"3,keyasint"`
	Owner   Holder        `cbor:"4,keyasint"`
	// Fence is one above the offset of the record that gave the range to its owner.
	Fence uint64 `cbor:"5,keyasint"`
	// Ready is true once the owner has taken the keys.
	Ready bool `cbor:"6,keyasint,omitempty"`
	// Previous lists the lives that may still hold keys of the range under a lower fence.
	Previous []Holder `cbor:"7,keyasint,omitempty"`
}

// Table is the assignment of all keyed services.
type Table struct {
	// Offset is the position of the record in the store; it is not part of the record.
	Offset uint64 `cbor:"-"`
	// Leader is the process that may renew grants and replace the table.
	Leader string `cbor:"1,keyasint"`
	// Nonce identifies the write, so that the writer recognizes a write whose answer it lost.
	Nonce uint64 `cbor:"2,keyasint"`
	// Resigned is true if the leader has stopped making grants.
	Resigned bool    `cbor:"3,keyasint,omitempty"`
	Ranges   []Range `cbor:"4,keyasint"`
}

// Encode returns the record of a table.
func (t *Table) Encode() ([]byte, error) {
	raw, err := cbor.Marshal(t)
	if err != nil {
		return nil, ErrTable.Wrap(err, "assignment cannot be encoded")
	}
	return raw, nil
}

// DecodeTable decodes a record that was read at an offset. It returns ErrTable if the record is damaged.
func DecodeTable(raw []byte, offset uint64) (*Table, error) {
	table := &Table{}
	if err := cbor.Unmarshal(raw, table); err != nil {
		return nil, ErrTable.Wrap(err, "assignment at offset %d cannot be read", offset)
	}
	for i := range table.Ranges {
		if r := &table.Ranges[i]; r.From < 0 || r.To >= Keys || r.From > r.To {
			return nil, ErrTable.New("assignment at offset %d has the range %d..%d", offset, r.From, r.To)
		}
	}
	table.Offset = offset
	table.sort()
	return table, nil
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

func (t *Table) clone() *Table {
	copied := *t
	copied.Ranges = make([]Range, len(t.Ranges))
	for i, r := range t.Ranges {
		r.Previous = append([]Holder(nil), r.Previous...)
		copied.Ranges[i] = r
	}
	return &copied
}
