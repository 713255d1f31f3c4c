// Package record defines the typed records of the log's streams and their CBOR encoding.
package record

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

var (
	errNamespace = errorx.NewNamespace("record")
	// ErrDecode reports bytes that are not a record of a known kind.
	ErrDecode = errNamespace.NewType("decode")
)

// Stream names a stream of the log.
type Stream string

// Streams of the log.
const (
	// ConfigStream carries the operators' configuration.
	ConfigStream Stream = "config"
	// AssignStream carries slot owners and cell members.
	AssignStream Stream = "assign"
)

// ID identifies a record. The writer chooses it and keeps it when it retries the append.
type ID uuid.UUID

// NewID returns a random record ID.
func NewID() ID { return ID(uuid.New()) }

// Evidence states why a slot may be reassigned from its owner.
type Evidence uint8

// Kinds of evidence. Section 5.4 of the design page states the rules behind each.
const (
	// EvidenceUnowned means that the slot had no owner.
	EvidenceUnowned Evidence = iota + 1
	// EvidenceRevoked means that the owner acknowledged the revocation.
	EvidenceRevoked
	// EvidenceLeaseExpired means that no process renews the owner's lease and that the lease has expired.
	EvidenceLeaseExpired
	// EvidenceVMTerminated means that the VM list no longer contains the owner's VM.
	EvidenceVMTerminated
)

// Record is one entry of a stream. Exactly one of the pointers is set.
type Record struct {
	ID           ID            `cbor:"1,keyasint"`
	MemberJoin   *MemberJoin   `cbor:"2,keyasint,omitempty"`
	MemberRemove *MemberRemove `cbor:"3,keyasint,omitempty"`
	VMTerminated *VMTerminated `cbor:"4,keyasint,omitempty"`
	Reassign     *Reassign     `cbor:"5,keyasint,omitempty"`
	Split        *Split        `cbor:"6,keyasint,omitempty"`
	Snapshot     *Snapshot     `cbor:"7,keyasint,omitempty"`
	ConfigPatch  *ConfigPatch  `cbor:"8,keyasint,omitempty"`
	TargetUp     *TargetUp     `cbor:"9,keyasint,omitempty"`
	Probe        *Probe        `cbor:"10,keyasint,omitempty"`
}

// Entry is a record with its offset in the stream.
type Entry struct {
	Offset model.Offset `cbor:"1,keyasint"`
	Record Record       `cbor:"2,keyasint"`
}

// Member is one process of an entry VM as a member of a cell.
type Member struct {
	VM          model.VMID        `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	// Zone is the zone of the VM. It differs from the cell if the VM is a stand-in: a member of a cell that has no
	// member of its own zone left.
	Zone model.Zone `cbor:"3,keyasint"`
	// Address is the peer address, host:port.
	Address string `cbor:"4,keyasint"`
}

// MemberJoin adds a member to a cell. A join under a new incarnation replaces the older incarnation of the VM.
type MemberJoin struct {
	Cell   model.Zone `cbor:"1,keyasint"`
	Member Member     `cbor:"2,keyasint"`
}

// MemberRemove removes a member from a cell. It is valid only at the given cell epoch.
type MemberRemove struct {
	Cell        model.Zone        `cbor:"1,keyasint"`
	VM          model.VMID        `cbor:"2,keyasint"`
	Incarnation model.Incarnation `cbor:"3,keyasint"`
	CellEpoch   model.Offset      `cbor:"4,keyasint"`
	// Stopped is true if the member leaves by itself. It renews no lease after appending this record.
	Stopped bool `cbor:"5,keyasint,omitempty"`
}

// VMTerminated states that the process of an entry VM has ended, according to the VM list.
type VMTerminated struct {
	VM          model.VMID        `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
}

// Move changes the owner of one slot.
type Move struct {
	Slot model.Slot `cbor:"1,keyasint"`
	// BaseEpoch is the slot's epoch on which the move is based; 0 if the slot had no owner.
	BaseEpoch model.Offset   `cbor:"2,keyasint"`
	To        model.TargetID `cbor:"3,keyasint"`
}

// Reassign changes the owners of slots atomically. It is valid only if the cell's epoch and every slot's base epoch are
// current.
type Reassign struct {
	Cell      model.Zone   `cbor:"1,keyasint"`
	CellEpoch model.Offset `cbor:"2,keyasint"`
	Evidence  Evidence     `cbor:"3,keyasint"`
	Moves     []Move       `cbor:"4,keyasint"`
}

// Split assigns a key its own slot. The owner stays the same. The record is valid only if BaseEpoch is the current
// epoch of the hash slot that the key belonged to.
type Split struct {
	Slot      model.Slot   `cbor:"1,keyasint"`
	BaseEpoch model.Offset `cbor:"2,keyasint"`
}

// TargetUp registers a new incarnation of a target. Slots are granted to a registered incarnation only: a lessor that
// has folded this record has also folded every assignment whose state may have been lost with an earlier incarnation.
// The record is valid only if Previous is the registered incarnation and the cell's epoch is current.
type TargetUp struct {
	Cell        model.Zone        `cbor:"1,keyasint"`
	CellEpoch   model.Offset      `cbor:"2,keyasint"`
	Target      model.TargetID    `cbor:"3,keyasint"`
	Previous    model.Incarnation `cbor:"4,keyasint"`
	Incarnation model.Incarnation `cbor:"5,keyasint"`
}

// Probe changes nothing. A lessor appends it to learn that the log accepts records before it gives up slots.
type Probe struct{}

// Snapshot holds the folded state up to and including Covers, so that older records may expire.
type Snapshot struct {
	Covers model.Offset `cbor:"1,keyasint"`
	State  []byte       `cbor:"2,keyasint"`
}

// EntityKind names a kind of configuration entity.
type EntityKind string

// Kinds of configuration entities.
const (
	KindRegion  EntityKind = "region"
	KindZone    EntityKind = "zone"
	KindService EntityKind = "service"
	KindTarget  EntityKind = "target"
	KindTenant  EntityKind = "tenant"
	KindRules   EntityKind = "rules"
)

// EntityKey identifies a configuration entity.
type EntityKey struct {
	Kind EntityKind `cbor:"1,keyasint"`
	Name string     `cbor:"2,keyasint"`
}

// Entity is a configuration entity with its CBOR-encoded document.
type Entity struct {
	Key      EntityKey `cbor:"1,keyasint"`
	Document []byte    `cbor:"2,keyasint"`
}

// ConfigPatch changes configuration entities atomically. It is valid only if Base is the current version.
type ConfigPatch struct {
	Author string       `cbor:"1,keyasint"`
	Base   model.Offset `cbor:"2,keyasint"`
	Set    []Entity     `cbor:"3,keyasint,omitempty"`
	Delete []EntityKey  `cbor:"4,keyasint,omitempty"`
}

var encoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the deterministic CBOR encoding of any message or record.
func Encode(value any) ([]byte, error) { return encoding.Marshal(value) }

// Decode decodes one record. It returns ErrDecode unless the bytes are valid CBOR and contain exactly one known kind.
func Decode(data []byte) (Record, error) {
	var decoded Record
	if err := cbor.Unmarshal(data, &decoded); err != nil {
		return Record{}, ErrDecode.Wrap(err, "record is not valid CBOR")
	}
	if !decoded.hasOneKind() {
		return Record{}, ErrDecode.New("record must have exactly one known kind")
	}
	return decoded, nil
}

func (r Record) hasOneKind() bool {
	kinds := 0
	for _, set := range []bool{
		r.MemberJoin != nil, r.MemberRemove != nil, r.VMTerminated != nil, r.Reassign != nil,
		r.Split != nil, r.Snapshot != nil, r.ConfigPatch != nil, r.TargetUp != nil, r.Probe != nil,
	} {
		if set {
			kinds++
		}
	}
	return kinds == 1
}
