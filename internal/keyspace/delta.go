package keyspace

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// wireDelta says how one table follows from another. The leader passes deltas on, as a change concerns few of the
// ranges and a table of a large deployment has some ten kilobytes.
type wireDelta struct {
	_ struct{} `cbor:",toarray"`
	// Base is the offset of the table that the delta applies to.
	Base uint64
	// Removed lists ranges by their service and first key.
	Removed []wireStart
	// Changed holds the table's head and its new and changed ranges.
	Changed []byte
}

type wireStart struct {
	_       struct{} `cbor:",toarray"`
	Service model.Service
	From    int
}

type start struct {
	service model.Service
	from    int
}

func startOf(r *Range) start { return start{service: r.Service, from: r.From} }

func (t *Table) byStart() map[start]*Range {
	ranges := make(map[start]*Range, len(t.Ranges))
	for i := range t.Ranges {
		ranges[startOf(&t.Ranges[i])] = &t.Ranges[i]
	}
	return ranges
}

func sameRange(a, b *Range) bool {
	if a.To != b.To || a.Owner != b.Owner || a.Fence != b.Fence || a.Ready != b.Ready || len(a.Previous) != len(b.Previous) {
		return false
	}
	for i := range a.Previous {
		if a.Previous[i] != b.Previous[i] {
			return false
		}
	}
	return true
}

// EncodeDelta encodes how a table follows from an earlier one.
func EncodeDelta(base, table *Table) ([]byte, error) {
	before, after := base.byStart(), table.byStart()
	delta := wireDelta{Base: base.Offset}
	for _, r := range base.Ranges {
		if after[startOf(&r)] == nil {
			delta.Removed = append(delta.Removed, wireStart{Service: r.Service, From: r.From})
		}
	}
	changed := *table
	changed.Ranges = nil
	for i := range table.Ranges {
		r := &table.Ranges[i]
		if former := before[startOf(r)]; former == nil || !sameRange(former, r) {
			changed.Ranges = append(changed.Ranges, *r)
		}
	}
	raw, err := changed.Encode()
	if err != nil {
		return nil, err
	}
	delta.Changed = raw
	encoded, err := cbor.Marshal(delta)
	if err != nil {
		return nil, ErrTable.Wrap(err, "delta cannot be encoded")
	}
	return encoded, nil
}

// ApplyDelta returns the table at an offset that a delta makes of its base. It returns ErrTable if the delta is damaged
// or applies to another table.
func ApplyDelta(base *Table, raw []byte, offset uint64) (*Table, error) {
	var delta wireDelta
	if err := cbor.Unmarshal(raw, &delta); err != nil {
		return nil, ErrTable.Wrap(err, "delta at offset %d cannot be read", offset)
	}
	if base == nil || base.Offset != delta.Base {
		return nil, ErrTable.New("delta at offset %d applies to the table at offset %d", offset, delta.Base)
	}
	table, err := DecodeTable(delta.Changed, offset)
	if err != nil {
		return nil, err
	}
	replaced := table.byStart()
	for _, removed := range delta.Removed {
		replaced[start{service: removed.Service, from: removed.From}] = &Range{}
	}
	for i := range base.Ranges {
		if r := &base.Ranges[i]; replaced[startOf(r)] == nil {
			table.Ranges = append(table.Ranges, *r)
		}
	}
	table.sort()
	return table, nil
}
