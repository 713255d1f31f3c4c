package config

import (
	"maps"
	"sort"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// rulesName is the name of the single entity of kind record.KindRules.
const rulesName = "rules"

// kindOrder sorts entities after the entities that they reference.
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
	addEntities(all, record.KindRegion, s.Regions)
	addEntities(all, record.KindZone, s.Zones)
	addEntities(all, record.KindService, s.Services)
	addEntities(all, record.KindTarget, s.Targets)
	addEntities(all, record.KindTenant, s.Tenants)
	return all
}

func addEntities[N ~string, E any](all map[record.EntityKey]any, kind record.EntityKind, entities map[N]E) {
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

// Clone returns a copy with maps of its own. The slices inside entities are shared.
func (s State) Clone() State {
	s.Regions = maps.Clone(s.Regions)
	s.Zones = maps.Clone(s.Zones)
	s.Services = maps.Clone(s.Services)
	s.Targets = maps.Clone(s.Targets)
	s.Tenants = maps.Clone(s.Tenants)
	return s
}

// set decodes an entity and stores it in the state's maps. It returns ErrInvalid if the document is malformed or has
// another name than its key.
func (s State) set(entity record.Entity) (State, error) {
	var err error
	switch entity.Key.Kind {
	case record.KindRegion:
		err = storeEntity(s.Regions, entity, func(e Region) model.Region { return e.Name })
	case record.KindZone:
		err = storeEntity(s.Zones, entity, func(e Zone) model.Zone { return e.Name })
	case record.KindService:
		err = storeEntity(s.Services, entity, func(e Service) model.Service { return e.Name })
	case record.KindTarget:
		err = storeEntity(s.Targets, entity, func(e Target) model.TargetID { return e.ID })
	case record.KindTenant:
		err = storeEntity(s.Tenants, entity, func(e Tenant) model.Tenant { return e.Name })
	case record.KindRules:
		rules := map[string]Rules{}
		err = storeEntity(rules, entity, func(Rules) string { return rulesName })
		s.Rules = rules[rulesName]
	default:
		err = ErrInvalid.New("patch sets an entity of the unknown kind %q", entity.Key.Kind)
	}
	return s, err
}

func storeEntity[N ~string, E any](entities map[N]E, entity record.Entity, nameOf func(E) N) error {
	var decoded E
	if err := decMode.Unmarshal(entity.Document, &decoded); err != nil {
		return ErrInvalid.Wrap(err, "document of %s %q is malformed", entity.Key.Kind, entity.Key.Name)
	}
	if name := nameOf(decoded); string(name) != entity.Key.Name {
		return ErrInvalid.New("document of %s %q has the name %q", entity.Key.Kind, entity.Key.Name, name)
	}
	entities[N(entity.Key.Name)] = decoded
	return nil
}

// remove deletes an entity from the state's maps. It returns ErrInvalid if the entity does not exist or is the rules.
func (s State) remove(key record.EntityKey) error {
	switch key.Kind {
	case record.KindRegion:
		return deleteEntity(s.Regions, key)
	case record.KindZone:
		return deleteEntity(s.Zones, key)
	case record.KindService:
		return deleteEntity(s.Services, key)
	case record.KindTarget:
		return deleteEntity(s.Targets, key)
	case record.KindTenant:
		return deleteEntity(s.Tenants, key)
	default:
		return ErrInvalid.New("patch removes %s %q, which can be changed but not removed", key.Kind, key.Name)
	}
}

func deleteEntity[N ~string, E any](entities map[N]E, key record.EntityKey) error {
	if _, found := entities[N(key.Name)]; !found {
		return ErrInvalid.New("patch removes %s %q, which does not exist", key.Kind, key.Name)
	}
	delete(entities, N(key.Name))
	return nil
}

var decMode = newDecMode()

// newDecMode returns a mode that ignores unknown fields, so that an older router can apply the records of a newer one.
func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
