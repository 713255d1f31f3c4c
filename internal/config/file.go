package config

import (
	"sort"

	"github.com/goccy/go-yaml"

	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// MaxFileBytes is the maximum size of an inventory or rules file, in bytes.
const MaxFileBytes = 16 << 20

// File is the name and content of a configuration file.
type File struct {
	// Name is the path of the file, used in messages.
	Name string
	Data []byte
}

// inventory is the schema of an inventory file.
type inventory struct {
	Regions  []Region  `yaml:"regions"`
	Zones    []Zone    `yaml:"zones"`
	Services []Service `yaml:"services"`
	Targets  []Target  `yaml:"targets,omitempty"`
	Tenants  []Tenant  `yaml:"tenants,omitempty"`
}

// Loaded is the state described by an inventory file and a rules file, with the positions of its fields.
type Loaded struct {
	// State has version 0 and no author.
	State     State
	positions positionIndex
}

// Load decodes an inventory file and a rules file. Rules missing from the file have the values of DefaultRules. It
// returns ErrTooLarge, or ErrSyntax with the file, line, column and field as far as they are known.
func Load(inventoryFile, rulesFile File) (Loaded, error) {
	loaded := Loaded{State: Empty(), positions: positionIndex{}}
	var decoded inventory
	inventoryRoot, err := decodeFile(inventoryFile, &decoded)
	if err != nil {
		return Loaded{}, err
	}
	if inventoryRoot.node == nil {
		return Loaded{}, syntaxError(inventoryFile.Name, nil, "", "the file is empty, and publishing it would remove everything",
			"list the regions; a failed export leaves such a file")
	}
	rulesRoot, err := decodeFile(rulesFile, &loaded.State.Rules)
	if err != nil {
		return Loaded{}, err
	}
	loaded.positions.addList(inventoryRoot, "regions", record.KindRegion, "name")
	loaded.positions.addList(inventoryRoot, "zones", record.KindZone, "name")
	loaded.positions.addList(inventoryRoot, "services", record.KindService, "name")
	loaded.positions.addList(inventoryRoot, "targets", record.KindTarget, "id")
	loaded.positions.addList(inventoryRoot, "tenants", record.KindTenant, "name")
	loaded.positions.addMapping(rulesRoot, record.EntityKey{Kind: record.KindRules, Name: rulesName})
	if err := loaded.positions.duplicates().asError(ErrSyntax); err != nil {
		return Loaded{}, err
	}
	loaded.State.addInventory(decoded)
	return loaded, nil
}

func (s State) addInventory(decoded inventory) {
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

// Validate returns ErrInvalid with all problems of the loaded state and their file positions, or nil.
func (l Loaded) Validate() error { return l.AddPositions(Validate(l.State)) }

// AddPositions adds file positions to the problems that an error carries. An error without problems is returned
// unchanged.
func (l Loaded) AddPositions(err error) error {
	problems := ProblemsOf(err)
	if len(problems) == 0 {
		return err
	}
	located := make(Problems, 0, len(problems))
	for _, problem := range problems {
		problem.Position = l.positions.find(problem.Entity, problem.Field)
		located = append(located, problem)
	}
	return located.asError(ErrInvalid)
}

// FormatInventory returns the inventory file of a state, with each list sorted by name.
func FormatInventory(state State) ([]byte, error) {
	formatted := inventory{
		Regions:  sortedByName(state.Regions),
		Zones:    sortedByName(state.Zones),
		Services: sortedByName(state.Services),
		Targets:  sortedByName(state.Targets),
		Tenants:  sortedByName(state.Tenants),
	}
	return yaml.Marshal(formatted)
}

// FormatRules returns the rules file of a state.
func FormatRules(state State) ([]byte, error) { return yaml.Marshal(state.Rules) }

func sortedByName[N ~string, E any](entities map[N]E) []E {
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
