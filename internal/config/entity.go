package config

import (
	"maps"
	"sort"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// rulesName is the name of the only entity of kind record.KindRules.
const rulesName = "rules"

// kindOrder lists the kinds so that an entity comes after the entities that it refers to.
var kindOrder = map[record.EntityKind]int{
	record.KindRegion:  1,
	record.KindZone:    2,
	record.KindService: 3,
	record.KindTenant:  4,
	record.KindTarget:  5,
	record.KindRules:   6,
}

func lessKey(a, b record.EntityKey) bool {
	if a.Kind != b.Kind {
		return kindOrder[a.Kind] < kindOrder[b.Kind]
	}
	return a.Name < b.Name
}

func keyOf[N ~string](kind record.EntityKind, name N) record.EntityKey {
	return record.EntityKey{Kind: kind, Name: string(name)}
}

// entities returns all entities of a state by key.
func (s State) entities() map[record.EntityKey]any {
	all := map[record.EntityKey]any{{Kind: record.KindRules, Name: rulesName}: s.Rules}
	collect(all, record.KindRegion, s.Regions)
	collect(all, record.KindZone, s.Zones)
	collect(all, record.KindService, s.Services)
	collect(all, record.KindTarget, s.Targets)
	collect(all, record.KindTenant, s.Tenants)
	return all
}

func collect[N ~string, E any](all map[record.EntityKey]any, kind record.EntityKind, entities map[N]E) {
	for name, entity := range entities {
		all[keyOf(kind, name)] = entity
	}
}

func sortedKeys[V any](entities map[record.EntityKey]V) []record.EntityKey {
	keys := make([]record.EntityKey, 0, len(entities))
	for key := range entities {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return lessKey(keys[i], keys[j]) })
	return keys
}

// Clone returns a copy whose maps can be changed without effect on s.
func (s State) Clone() State {
	s.Regions = maps.Clone(s.Regions)
	s.Zones = maps.Clone(s.Zones)
	s.Services = maps.Clone(s.Services)
	s.Targets = maps.Clone(s.Targets)
	s.Tenants = maps.Clone(s.Tenants)
	return s
}

// set decodes an entity and stores it. It returns ErrInvalid if the document is malformed or names another entity.
func (s State) set(entity record.Entity) (State, error) {
	var err error
	switch entity.Key.Kind {
	case record.KindRegion:
		err = put(s.Regions, entity, func(e Region) model.Region { return e.Name })
	case record.KindZone:
		err = put(s.Zones, entity, func(e Zone) model.Zone { return e.Name })
	case record.KindService:
		err = put(s.Services, entity, func(e Service) model.Service { return e.Name })
	case record.KindTarget:
		err = put(s.Targets, entity, func(e Target) model.TargetID { return e.ID })
	case record.KindTenant:
		err = put(s.Tenants, entity, func(e Tenant) model.Tenant { return e.Name })
	case record.KindRules:
		rules := map[string]Rules{}
		err = put(rules, entity, func(Rules) string { return rulesName })
		s.Rules = rules[rulesName]
	default:
		err = ErrInvalid.New("patch sets an entity of the unknown kind %q", entity.Key.Kind)
	}
	return s, err
}

func put[N ~string, E any](entities map[N]E, entity record.Entity, nameOf func(E) N) error {
	var decoded E
	if err := decoding.Unmarshal(entity.Document, &decoded); err != nil {
		return ErrInvalid.Wrap(err, "document of %s %q is malformed", entity.Key.Kind, entity.Key.Name)
	}
	if name := nameOf(decoded); string(name) != entity.Key.Name {
		return ErrInvalid.New("document of %s %q names %q", entity.Key.Kind, entity.Key.Name, name)
	}
	entities[N(entity.Key.Name)] = decoded
	return nil
}

// remove deletes an entity. It returns ErrInvalid if there is none.
func (s State) remove(key record.EntityKey) error {
	switch key.Kind {
	case record.KindRegion:
		return drop(s.Regions, key)
	case record.KindZone:
		return drop(s.Zones, key)
	case record.KindService:
		return drop(s.Services, key)
	case record.KindTarget:
		return drop(s.Targets, key)
	case record.KindTenant:
		return drop(s.Tenants, key)
	default:
		return ErrInvalid.New("patch removes %s %q, which can only be changed", key.Kind, key.Name)
	}
}

func drop[N ~string, E any](entities map[N]E, key record.EntityKey) error {
	if _, found := entities[N(key.Name)]; !found {
		return ErrInvalid.New("patch removes %s %q, which does not exist", key.Kind, key.Name)
	}
	delete(entities, N(key.Name))
	return nil
}

var decoding = mustDecoding()

// mustDecoding ignores unknown fields, so that an older router folds the records of a newer one.
func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
