package config

import (
	"sort"

	"github.com/goccy/go-yaml"

	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// MaxFileBytes is the largest inventory or rules file, in bytes.
const MaxFileBytes = 16 << 20

// File is a configuration file as it was read.
type File struct {
	// Name is the path of the file, for messages.
	Name string
	Data []byte
}

// inventory is the document of an inventory file.
type inventory struct {
	Regions  []Region  `yaml:"regions"`
	Zones    []Zone    `yaml:"zones"`
	Services []Service `yaml:"services"`
	Targets  []Target  `yaml:"targets,omitempty"`
	Tenants  []Tenant  `yaml:"tenants,omitempty"`
}

// Loaded is the state that an inventory file and a rules file describe.
type Loaded struct {
	// State has version 0 and no author.
	State     State
	positions positionIndex
}

// Load decodes an inventory file and a rules file. Rules that the file leaves out have the values of DefaultRules. It
// returns ErrTooLarge or ErrSyntax with the file, line, column and field.
func Load(inventoryFile, rulesFile File) (Loaded, error) {
	loaded := Loaded{State: Empty(), positions: positionIndex{}}
	var decoded inventory
	positions, err := decodeFile(inventoryFile, &decoded)
	if err != nil {
		return Loaded{}, err
	}
	if positions.node == nil {
		return Loaded{}, syntaxFault(inventoryFile.Name, nil, "", "the file is empty, and publishing it would remove everything",
			"list the regions; an export that failed leaves such a file")
	}
	rulePositions, err := decodeFile(rulesFile, &loaded.State.Rules)
	if err != nil {
		return Loaded{}, err
	}
	loaded.positions.addList(positions, "regions", record.KindRegion, "name")
	loaded.positions.addList(positions, "zones", record.KindZone, "name")
	loaded.positions.addList(positions, "services", record.KindService, "name")
	loaded.positions.addList(positions, "targets", record.KindTarget, "id")
	loaded.positions.addList(positions, "tenants", record.KindTenant, "name")
	loaded.positions.addMapping(rulePositions, record.EntityKey{Kind: record.KindRules, Name: rulesName})
	if err := loaded.positions.duplicates().asError(ErrSyntax); err != nil {
		return Loaded{}, err
	}
	loaded.State.fill(decoded)
	return loaded, nil
}

func (s State) fill(decoded inventory) {
	for _, region := range decoded.Regions {
		s.Regions[region.Name] = region
	}
	for _, zone := range decoded.Zones {
		s.Zones[zone.Name] = zone
	}
	for _, service := range decoded.Services {
		s.Services[service.Name] = service
	}
	for _, target := range decoded.Targets {
		s.Targets[target.ID] = target
	}
	for _, tenant := range decoded.Tenants {
		s.Tenants[tenant.Name] = tenant
	}
}

// Validate returns ErrInvalid with all faults of the loaded state and their places in the files, or nil.
func (l Loaded) Validate() error { return l.AddPositions(Validate(l.State)) }

// AddPositions adds places in the files to the faults of an error.
func (l Loaded) AddPositions(err error) error {
	faults := ProblemsOf(err)
	if len(faults) == 0 {
		return err
	}
	located := make(Problems, 0, len(faults))
	for _, fault := range faults {
		fault.Position = l.positions.find(fault.Entity, fault.Field)
		located = append(located, fault)
	}
	return located.asError(ErrInvalid)
}

// FormatInventory returns the inventory file of a state, in order of name.
func FormatInventory(state State) ([]byte, error) {
	formatted := inventory{
		Regions:  ordered(state.Regions),
		Zones:    ordered(state.Zones),
		Services: ordered(state.Services),
		Targets:  ordered(state.Targets),
		Tenants:  ordered(state.Tenants),
	}
	return yaml.Marshal(formatted)
}

// FormatRules returns the rules file of a state.
func FormatRules(state State) ([]byte, error) { return yaml.Marshal(state.Rules) }

func ordered[N ~string, E any](entities map[N]E) []E {
	names := make([]N, 0, len(entities))
	for name := range entities {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	list := make([]E, 0, len(names))
	for _, name := range names {
		list = append(list, entities[name])
	}
	return list
}
