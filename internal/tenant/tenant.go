// Package tenant holds the tenants of a configuration and finds the tenant of an API key.
//
// The package does no I/O. API keys are secrets: a Table holds only their SHA-256 hashes, and no error contains a key.
package tenant

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"math"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// ErrTable reports tenants that are invalid or contradict each other.
var ErrTable = errorx.NewNamespace("tenant").NewType("table")

// maxName is the maximum length of a name, in bytes, as for the keys of records in the store. Names are sent to targets in a
// header whose total size targets bound.
const maxName = 255

// Tenant is a client account. It is immutable.
type Tenant struct {
	// Name is a valid header value of 1 to 255 bytes.
	Name string
	// Priority replaces the priority of the route if HasPriority is true; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// Rate is the number of requests per second that the tenant may send over all VMs; 0 means that there is no limit.
	Rate float64
	// Burst is the number of requests that the tenant may send in addition to Rate at once.
	Burst float64
	// Regions are the regions in which the tenant's requests may be served; empty means any.
	Regions []model.Region
}

// AllowsRegion reports whether requests of the tenant may be served in a region.
func (t *Tenant) AllowsRegion(region model.Region) bool {
	return len(t.Regions) == 0 || slices.Contains(t.Regions, region)
}

// check returns ErrTable for a tenant with an invalid field.
func (t *Tenant) check() error {
	if !isName(t.Name) {
		return ErrTable.New("name %.32q of a tenant is not a header value of 1 to %d bytes", t.Name, maxName)
	}
	if !isQuantity(t.Rate) || !isQuantity(t.Burst) {
		return ErrTable.New("tenant %q has the rate %v and the burst %v, one of them invalid", t.Name, t.Rate, t.Burst)
	}
	return nil
}

// isName reports whether a name is a field value of RFC 9110, section 5.5, in UTF-8: no control characters, and no
// whitespace at its ends, which targets would remove.
func isName(name string) bool {
	isControl := func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
	return name != "" && len(name) <= maxName && utf8.ValidString(name) && strings.Trim(name, " \t") == name &&
		!strings.ContainsFunc(name, isControl)
}

func isQuantity(value float64) bool { return value >= 0 && !math.IsInf(value, 1) }

// digest is the SHA-256 hash of an API key.
type digest [sha256.Size]byte

// prefix returns the part of the digest by which the Table is indexed.
func (d *digest) prefix() uint64 { return binary.BigEndian.Uint64(d[:8]) }

// keyEntry assigns an API key to the tenant with an index in Table.tenants.
type keyEntry struct {
	digest digest
	owner  int
}

// Table holds the tenants of one version of the configuration. It is immutable. A nil Table has no tenants.
type Table struct {
	tenants []*Tenant
	byName  map[string]*Tenant
	// byPrefix lists the keys by the prefix of their digest. Keys share a prefix by chance only.
	byPrefix map[uint64][]keyEntry
	// priorities are those of the tenants that have API keys.
	priorities priorities
}

// priorities summarizes the priorities of tenants.
type priorities struct {
	// hasOwn is true if a tenant has a priority of its own, of which leastUrgent is the highest number.
	hasOwn      bool
	leastUrgent int
	// hasNone is true if a tenant has no priority of its own.
	hasNone bool
}

func (p *priorities) add(t *Tenant) {
	switch {
	case !t.HasPriority:
		p.hasNone = true
	case !p.hasOwn || t.Priority > p.leastUrgent:
		p.hasOwn, p.leastUrgent = true, t.Priority
	}
}

// NewTable returns a table of tenants in the given order; keys[i] are the API keys of tenants[i], and a tenant beyond the end of
// keys has none. A key may be repeated within one tenant. It returns ErrTable for two tenants of one name, a key of two
// tenants, an empty key, an invalid name, and a rate or burst that is negative or not finite.
func NewTable(tenants []Tenant, keys [][]string) (*Table, error) {
	table := &Table{byName: make(map[string]*Tenant, len(tenants)), byPrefix: map[uint64][]keyEntry{}}
	for i := range tenants {
		added := tenants[i]
		if err := added.check(); err != nil {
			return nil, err
		}
		if table.byName[added.Name] != nil {
			return nil, ErrTable.New("two tenants have the name %q", added.Name)
		}
		table.tenants = append(table.tenants, &added)
		table.byName[added.Name] = &added
		if i >= len(keys) || len(keys[i]) == 0 {
			continue
		}
		table.priorities.add(&added)
		for _, key := range keys[i] {
			if err := table.addKey(i, key); err != nil {
				return nil, err
			}
		}
	}
	return table, nil
}

// addKey assigns a key to a tenant.
func (t *Table) addKey(owner int, key string) error {
	name := t.tenants[owner].Name
	if key == "" {
		return ErrTable.New("tenant %q has an empty API key", name)
	}
	added := digest(sha256.Sum256([]byte(key)))
	if known, found := t.find(&added); found {
		if known != owner {
			return ErrTable.New("tenants %q and %q have an API key in common", t.tenants[known].Name, name)
		}
		return nil
	}
	t.byPrefix[added.prefix()] = append(t.byPrefix[added.prefix()], keyEntry{digest: added, owner: owner})
	return nil
}

// find returns the index of the tenant that has a key. The index reveals in its timing at most whether some key has the same
// first 64 bits of its hash, from which no key can be derived; the whole hashes are compared in constant time.
func (t *Table) find(wanted *digest) (owner int, found bool) {
	for _, entry := range t.byPrefix[wanted.prefix()] {
		if subtle.ConstantTimeCompare(entry.digest[:], wanted[:]) == 1 {
			owner, found = entry.owner, true
		}
	}
	return owner, found
}

// Lookup returns the tenant that has an API key, and false if there is none.
func (t *Table) Lookup(key string) (*Tenant, bool) {
	if t.Empty() || key == "" {
		return nil, false
	}
	wanted := digest(sha256.Sum256([]byte(key)))
	owner, found := t.find(&wanted)
	if !found {
		return nil, false
	}
	return t.tenants[owner], true
}

// Empty reports whether there are no tenants. A table of tenants without keys is not empty.
func (t *Table) Empty() bool { return t == nil || len(t.tenants) == 0 }

// ByName returns the tenant of a name, and false if there is none.
func (t *Table) ByName(name string) (*Tenant, bool) {
	if t == nil {
		return nil, false
	}
	found := t.byName[name]
	return found, found != nil
}

// All returns the tenants in the order of the configuration. The result must not be changed.
func (t *Table) All() []*Tenant {
	if t == nil {
		return nil
	}
	return t.tenants
}

// LeastUrgent returns the highest priority number that requests of a route can have. priority is that of the route, which
// applies to tenants without their own and, if the route is public, to requests without a tenant.
func (t *Table) LeastUrgent(priority int, public bool) int {
	if t.Empty() || !t.priorities.hasOwn {
		return priority
	}
	if public || t.priorities.hasNone {
		return max(priority, t.priorities.leastUrgent)
	}
	return t.priorities.leastUrgent
}

// Change tells how the API keys of a tenant differ between two tables.
type Change struct {
	Name string
	// Added and Removed are the numbers of keys.
	Added, Removed int
}

// Changes returns the tenants whose API keys differ between two tables, those of the newer table first. A key that moved between
// two tenants is removed from one and added to the other. Tenants without keys that come or go are not listed.
func Changes(before, after *Table) []Change {
	added, removed := after.missingIn(before), before.missingIn(after)
	var changes []Change
	for _, t := range after.All() {
		if added[t.Name]+removed[t.Name] > 0 {
			changes = append(changes, Change{Name: t.Name, Added: added[t.Name], Removed: removed[t.Name]})
		}
	}
	for _, t := range before.All() {
		if _, remains := after.ByName(t.Name); !remains && removed[t.Name] > 0 {
			changes = append(changes, Change{Name: t.Name, Removed: removed[t.Name]})
		}
	}
	return changes
}

// missingIn returns for each tenant the number of its keys that the tenant of the same name in another table does not have.
func (t *Table) missingIn(other *Table) map[string]int {
	missing := map[string]int{}
	if t == nil {
		return missing
	}
	for _, entries := range t.byPrefix {
		for i := range entries {
			name := t.tenants[entries[i].owner].Name
			if other != nil {
				if owner, found := other.find(&entries[i].digest); found && other.tenants[owner].Name == name {
					continue
				}
			}
			missing[name]++
		}
	}
	return missing
}
