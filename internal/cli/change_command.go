package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// edit returns a state in which the named entity is changed. It copies what it changes and leaves the given state
// unmodified.
type edit func(state config.State, name string) (config.State, error)

func (p *Program) zoneCommand() *ffcli.Command {
	group := p.group("zone", "take a zone out of service or return it to service")
	group.Subcommands = []*ffcli.Command{
		p.changeCommand("out", "ZONE", "take a zone out of service", setZoneOutOfService(true)),
		p.changeCommand("in", "ZONE", "return a zone to service", setZoneOutOfService(false)),
	}
	return group
}

func (p *Program) targetCommand() *ffcli.Command {
	group := p.group("target", "drain a target or return it to service")
	group.Subcommands = []*ffcli.Command{
		p.changeCommand("drain", "TARGET", "move work away from a target and give it no new work", setDrain(true)),
		p.changeCommand("undrain", "TARGET", "return a drained target to service", setDrain(false)),
	}
	return group
}

func (p *Program) changeCommand(name, argument, help string, change edit) *ffcli.Command {
	flags := p.flags(name)
	var log logFlags
	log.bind(flags)
	log.bindAuthor(flags)
	return p.command(name, argument, help, flags, func(ctx context.Context, args []string) error {
		ctx, cancel, sess, err := p.open(ctx, &log)
		if err != nil {
			return err
		}
		defer cancel()
		published, err := sess.change(ctx, func(state config.State) (config.State, error) { return change(state, args[0]) })
		if err == nil {
			p.warnAboutIdleServices(sess.state())
		}
		return p.printResult(published, err)
	})
}

func setZoneOutOfService(outOfService bool) edit {
	return func(state config.State, name string) (config.State, error) {
		zones, err := cloneForEdit(state, state.Zones, model.Zone(name), "zone")
		if err != nil {
			return state, err
		}
		zone := zones[model.Zone(name)]
		zone.OutOfService = outOfService
		zones[zone.Name] = zone
		state.Zones = zones
		return state, nil
	}
}

func setDrain(drain bool) edit {
	return func(state config.State, name string) (config.State, error) {
		targets, err := cloneForEdit(state, state.Targets, model.TargetID(name), "target")
		if err != nil {
			return state, err
		}
		target := targets[model.TargetID(name)]
		target.Drain = drain
		targets[target.ID] = target
		state.Targets = targets
		return state, nil
	}
}

// cloneForEdit returns a copy of entities, or a Failure if the named entity does not exist.
func cloneForEdit[K ~string, V any](state config.State, entities map[K]V, name K, kind string) (map[K]V, error) {
	if _, found := entities[name]; !found {
		return nil, failure(result.UsageError, "configuration version %d has no %s %q; it has %s", state.Version, kind, name, joinNames(entities))
	}
	return maps.Clone(entities), nil
}

// warnAboutIdleServices prints a warning for each service whose targets are all drained or in zones out of service,
// because its requests are rejected.
func (p *Program) warnAboutIdleServices(state config.State) {
	inService := map[model.Service]bool{}
	for _, target := range state.Targets {
		usable := !target.Drain && !state.Zones[target.Zone].OutOfService
		inService[target.Service] = inService[target.Service] || usable
	}
	for _, service := range slices.Sorted(maps.Keys(inService)) {
		if !inService[service] {
			fmt.Fprintf(p.Stderr, "warning: service %q has no target in service; its requests are rejected\n", service)
		}
	}
}

// maxListedNames is the maximum number of names that an error lists.
const maxListedNames = 20

// joinNames returns the sorted names of entities, for errors about an unknown name.
func joinNames[K ~string, V any](entities map[K]V) string {
	if len(entities) == 0 {
		return "none"
	}
	names := slices.Sorted(maps.Keys(entities))
	rest := len(names) - maxListedNames
	if rest > 0 {
		names = names[:maxListedNames]
	}
	text := make([]string, 0, len(names))
	for _, name := range names {
		text = append(text, string(name))
	}
	if rest > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(text, ", "), rest)
	}
	return strings.Join(text, ", ")
}
