// Package model defines the identifiers and small value types that all parts of the router share.
package model

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Identifiers. All are opaque, non-empty and unique within one deployment.
type (
	// VMID names an entry VM or a target's VM, as in the platform's VM list.
	VMID string
	// Zone names an availability zone.
	Zone string
	// Region names a region, a group of zones.
	Region string
	// Tenant names a client account.
	Tenant string
	// Service names a group of interchangeable targets.
	Service string
	// TargetID names one server instance of a service.
	TargetID string
	// Class is a placement class. Tenants with the same set of home regions have the same class.
	Class string
)

// AnyRegion is the placement class of tenants without home regions.
const AnyRegion Class = "any"

// ClassOf returns the placement class of a set of home regions.
func ClassOf(home []Region) Class {
	if len(home) == 0 {
		return AnyRegion
	}
	names := make([]string, 0, len(home))
	for _, region := range home {
		names = append(names, string(region))
	}
	sort.Strings(names)
	return Class(strings.Join(names, "+"))
}

// Allows reports whether the class permits work in the region.
func (c Class) Allows(region Region) bool {
	if c == AnyRegion {
		return true
	}
	for _, name := range strings.Split(string(c), "+") {
		if name == string(region) {
			return true
		}
	}
	return false
}

// Incarnation distinguishes successive processes of one VM or target. Each restart yields a new value.
type Incarnation uint64

// Offset is a position in a stream of the log. The first record has offset 1; 0 means that nothing has been read.
type Offset uint64

// Fence is the offset of the record that assigned a slot. A higher fence supersedes a lower one.
type Fence uint64

// Instant is a reading of a process's monotonic clock. Readings from different processes are not comparable.
type Instant time.Duration

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Term orders the lessors of a target. A target refuses terms lower than the highest one that it has accepted.
type Term struct {
	// Epoch is the epoch of the cell.
	Epoch Offset `cbor:"1,keyasint" json:"epoch"`
	// Rank is the position of the lessor in the target's ranking of the cell's members.
	Rank uint16 `cbor:"2,keyasint" json:"rank"`
}

// Less reports whether t is lower than other.
func (t Term) Less(other Term) bool {
	if t.Epoch != other.Epoch {
		return t.Epoch < other.Epoch
	}
	return t.Rank < other.Rank
}

// String formats the term as epoch.rank.
func (t Term) String() string { return fmt.Sprintf("%d.%d", t.Epoch, t.Rank) }

// Slot is a unit of ownership: a hash slot of a service and placement class, or a single key split from it.
type Slot struct {
	Service Service `cbor:"1,keyasint" json:"service"`
	Class   Class   `cbor:"2,keyasint" json:"class"`
	// Index is the number of the hash slot. A split key keeps the index of the slot from which it was split.
	Index uint32 `cbor:"3,keyasint" json:"index"`
	// KeyHash is 0 for a hash slot and the hash of the key for a split slot.
	KeyHash uint64 `cbor:"4,keyasint,omitempty" json:"key_hash,omitempty"`
}

// IsSplit reports whether the slot holds a single key.
func (s Slot) IsSplit() bool { return s.KeyHash != 0 }

// Parent returns the hash slot from which s was split, or s itself if it is a hash slot.
func (s Slot) Parent() Slot {
	s.KeyHash = 0
	return s
}

// Split returns the slot that holds only the key with the given hash.
func (s Slot) Split(keyHash uint64) Slot {
	s.KeyHash = keyHash
	return s
}

// String formats the slot as service/class/index, followed by /hash (in hexadecimal) for a split key.
func (s Slot) String() string {
	if s.IsSplit() {
		return fmt.Sprintf("%s/%s/%d/%016x", s.Service, s.Class, s.Index, s.KeyHash)
	}
	return fmt.Sprintf("%s/%s/%d", s.Service, s.Class, s.Index)
}

// KeyHash returns the hash of a key of a service and placement class. It is never 0, which marks a hash slot in
// Slot.KeyHash.
func KeyHash(service Service, class Class, key string) uint64 {
	return max(1, xxhash.Sum64String(string(service)+"\x00"+string(class)+"\x00"+key))
}

// HashSlot returns the hash slot for a key hash. slots is the number of hash slots of the service and must be positive.
func HashSlot(service Service, class Class, keyHash uint64, slots uint32) Slot {
	return Slot{Service: service, Class: class, Index: uint32(keyHash % uint64(slots))}
}

// RendezvousWeight returns the weight of a node for an item in rendezvous hashing.
func RendezvousWeight(item, node string) uint64 {
	return xxhash.Sum64String(item + "\x00" + node)
}
