package keyspace

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// wireDelta is the encoded difference between two tables. The leader relays deltas instead of tables, because a change
// affects few ranges while the table of a large deployment takes tens of kilobytes.
type wireDelta struct {
	_ struct{} `cbor:",toarray"`
	// Base is the offset of the table that the delta applies to.
	Base uint64
	// Removed lists the ranges of the base that the table does not have.
	Removed []wireRangeStart
	// Changed is an encoded table with the new table's header fields and its new and changed ranges.
	Changed []byte
}

// wireRangeStart identifies a range by its service and first key.
type wireRangeStart struct {
	_       struct{} `cbor:",toarray"`
	Service model.Service
	From    int
}

type rangeStart struct {
	service model.Service
	from    int
}

func rangeStartOf(r *Range) rangeStart { return rangeStart{service: r.Service, from: r.From} }

func (t *Table) byStart() map[rangeStart]*Range {
	ranges := make(map[rangeStart]*Range, len(t.Ranges))
	for i := range t.Ranges {
		ranges[rangeStartOf(&t.Ranges[i])] = &t.Ranges[i]
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

// EncodeDelta returns the encoded difference between a table and an earlier one.
func EncodeDelta(base, table *Table) ([]byte, error) {
	before, after := base.byStart(), table.byStart()
	delta := wireDelta{Base: base.Offset}
	for _, r := range base.Ranges {
		if after[rangeStartOf(&r)] == nil {
			delta.Removed = append(delta.Removed, wireRangeStart{Service: r.Service, From: r.From})
		}
	}
	changed := *table
	changed.Ranges = nil
	for i := range table.Ranges {
		r := &table.Ranges[i]
		if former := before[rangeStartOf(r)]; former == nil || !sameRange(former, r) {
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

// ApplyDelta applies a delta to its base and returns the table, which has the given offset. It returns ErrTable if the
// delta is malformed or its base is another table.
func ApplyDelta(base *Table, raw []byte, offset uint64) (*Table, error) {
	var delta wireDelta
	if err := cbor.Unmarshal(raw, &delta); err != nil {
		return nil, ErrTable.Wrap(err, "delta at offset %d cannot be decoded", offset)
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
		replaced[rangeStart{service: removed.Service, from: removed.From}] = &Range{}
	}
	for i := range base.Ranges {
		if r := &base.Ranges[i]; replaced[rangeStartOf(r)] == nil {
			table.Ranges = append(table.Ranges, *r)
		}
	}
	table.sort()
	return table, nil
}
