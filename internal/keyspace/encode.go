package keyspace

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// maxFormerGrants bounds what a record may state: it exceeds the longest time for which a leader can make grants.
const maxFormerGrants = time.Minute

// wireTable is the encoded form of a table. Services and holders are listed once and referenced by index to keep the
// record small, because all VMs read each record over low-bandwidth links.
type wireTable struct {
	_        struct{} `cbor:",toarray"`
	Leader   string
	Address  string
	Nonce    uint64
	Resigned bool
	Services []model.Service
	Holders  []Holder
	Ranges   []wireRange
}

// wireResignation is the encoded form of a table with FormerGrants, which are in milliseconds, rounded up. Other tables have
// the shorter form, which earlier versions of this program can decode.
type wireResignation struct {
	_            struct{} `cbor:",toarray"`
	Table        wireTable
	FormerGrants int64
}

// wireEraTable is the encoded form of a table that was written in a later era than 0. A record that is found in another era than it
// states was restored with a copy of the store, or written late.
type wireEraTable struct {
	_            struct{} `cbor:",toarray"`
	Table        wireTable
	FormerGrants int64
	Era          uint64
	Unconfirmed  bool
}

type wireRange struct {
	_        struct{} `cbor:",toarray"`
	Service  int
	From     int
	To       int
	Owner    int
	Fence    uint64
	Ready    bool
	Previous []int
}

// index assigns consecutive numbers to distinct values in order of first use.
type index[T comparable] struct {
	values []T
	known  map[T]int
}

func (x *index[T]) of(value T) int {
	if i, found := x.known[value]; found {
		return i
	}
	if x.known == nil {
		x.known = map[T]int{}
	}
	x.known[value] = len(x.values)
	x.values = append(x.values, value)
	return len(x.values) - 1
}

// Encode returns the encoded record of a table.
func (t *Table) Encode() ([]byte, error) {
	var services index[model.Service]
	var holders index[Holder]
	wire := wireTable{Leader: t.Leader, Address: t.LeaderAddress, Nonce: t.Nonce, Resigned: t.Resigned}
	for i := range t.Ranges {
		r := &t.Ranges[i]
		encoded := wireRange{
			Service: services.of(r.Service), From: r.From, To: r.To, Owner: holders.of(r.Owner), Fence: r.Fence, Ready: r.Ready,
		}
		for _, previous := range r.Previous {
			encoded.Previous = append(encoded.Previous, holders.of(previous))
		}
		wire.Ranges = append(wire.Ranges, encoded)
	}
	wire.Services, wire.Holders = services.values, holders.values
	var record any = wire
	if t.FormerGrants > 0 {
		record = wireResignation{Table: wire, FormerGrants: (t.FormerGrants + time.Millisecond - 1).Milliseconds()}
	}
	if era := model.EraOf(t.Offset); era > 0 {
		record = wireEraTable{
			Table: wire, FormerGrants: (t.FormerGrants + time.Millisecond - 1).Milliseconds(), Era: era, Unconfirmed: t.Unconfirmed,
		}
	}
	raw, err := cbor.Marshal(record)
	if err != nil {
		return nil, ErrTable.Wrap(err, "assignment cannot be encoded")
	}
	return raw, nil
}

// decodeWire decodes any form of a table.
func decodeWire(raw []byte) (wireEraTable, error) {
	var table wireEraTable
	if cbor.Unmarshal(raw, &table) == nil {
		return table, nil
	}
	var resignation wireResignation
	if cbor.Unmarshal(raw, &resignation) == nil {
		return wireEraTable{Table: resignation.Table, FormerGrants: resignation.FormerGrants}, nil
	}
	var plain wireTable
	err := cbor.Unmarshal(raw, &plain)
	return wireEraTable{Table: plain}, err
}

// DecodeTable decodes a record that was read at a position. The table of a record of an earlier era has a position in that era, so
// it counts as older than any table of the present one. DecodeTable returns ErrTable if the record is malformed.
func DecodeTable(raw []byte, offset uint64) (*Table, error) {
	record, err := decodeWire(raw)
	if err != nil {
		return nil, ErrTable.Wrap(err, "assignment at offset %d cannot be decoded", offset)
	}
	wire := record.Table
	if record.FormerGrants < 0 || record.FormerGrants > maxFormerGrants.Milliseconds() {
		return nil, ErrTable.New("assignment at offset %d has grants of former leaders for %d ms", offset, record.FormerGrants)
	}
	if record.Era > model.EraOf(offset) {
		return nil, ErrTable.New("assignment at offset %d states the later era %d", offset, record.Era)
	}
	offset = model.PositionAt(record.Era, model.OffsetOf(offset))
	table := &Table{
		Unconfirmed: record.Unconfirmed, Offset: offset, Leader: wire.Leader, LeaderAddress: wire.Address, Nonce: wire.Nonce, Resigned: wire.Resigned,
		FormerGrants: time.Duration(record.FormerGrants) * time.Millisecond,
	}
	for i := range wire.Ranges {
		r, ok := wire.decodeRange(&wire.Ranges[i])
		if !ok {
			return nil, ErrTable.New("assignment at offset %d has an invalid range %d..%d",
				offset, wire.Ranges[i].From, wire.Ranges[i].To)
		}
		table.Ranges = append(table.Ranges, r)
	}
	table.sort()
	return table, nil
}

func (w *wireTable) decodeRange(encoded *wireRange) (Range, bool) {
	r := Range{From: encoded.From, To: encoded.To, Fence: encoded.Fence, Ready: encoded.Ready}
	if r.From < 0 || r.To >= Keys || r.From > r.To {
		return r, false
	}
	if encoded.Service < 0 || encoded.Service >= len(w.Services) || !w.hasHolder(encoded.Owner) {
		return r, false
	}
	r.Service = w.Services[encoded.Service]
	r.Owner = w.Holders[encoded.Owner]
	for _, previous := range encoded.Previous {
		if !w.hasHolder(previous) {
			return r, false
		}
		r.Previous = append(r.Previous, w.Holders[previous])
	}
	return r, true
}

func (w *wireTable) hasHolder(i int) bool { return i >= 0 && i < len(w.Holders) }
