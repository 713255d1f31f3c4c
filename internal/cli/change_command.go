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

// edit changes one entity, which args name, in a state that it copies as far as necessary.
type edit func(state config.State, name string) (config.State, error)

func (p *Program) zoneCommand() *ffcli.Command {
	group := p.group("zone", "take a zone out of service or return it")
	group.Subcommands = []*ffcli.Command{
		p.changeCommand("out", "ZONE", "take a zone out of service", setZone(true)),
		p.changeCommand("in", "ZONE", "return a zone to service", setZone(false)),
	}
	return group
}

func (p *Program) targetCommand() *ffcli.Command {
	group := p.group("target", "drain a target or return it")
	group.Subcommands = []*ffcli.Command{
		p.changeCommand("drain", "TARGET", "empty a target and give it no new work", setDrain(true)),
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
		ctx, cancel, opened, err := p.open(ctx, &log)
		if err != nil {
			return err
		}
		defer cancel()
		published, err := opened.change(ctx, func(state config.State) (config.State, error) { return change(state, args[0]) })
		if err == nil {
			p.warnOfIdleServices(opened.state())
		}
		return p.conclude(published, err)
	})
}

func setZone(isOut bool) edit {
	return func(state config.State, name string) (config.State, error) {
		zones, err := changed(state, state.Zones, model.Zone(name), "zone")
		if err != nil {
			return state, err
		}
		zone := zones[model.Zone(name)]
		zone.OutOfService = isOut
		zones[zone.Name] = zone
		state.Zones = zones
		return state, nil
	}
}

func setDrain(isDrained bool) edit {
	return func(state config.State, name string) (config.State, error) {
		targets, err := changed(state, state.Targets, model.TargetID(name), "target")
		if err != nil {
			return state, err
		}
		target := targets[model.TargetID(name)]
		target.Drain = isDrained
		targets[target.ID] = target
		state.Targets = targets
		return state, nil
	}
}

// changed returns a copy of the entities in which the named one may be changed, or a Failure if there is none.
func changed[K ~string, V any](state config.State, entities map[K]V, name K, kind string) (map[K]V, error) {
	if _, found := entities[name]; !found {
		return nil, failure(result.UsageError, "version %d has no %s %q; it has %s", state.Version, kind, name, listed(entities))
	}
	return maps.Clone(entities), nil
}

// warnOfIdleServices names the services whose targets are all drained or in zones out of service: their requests are refused.
func (p *Program) warnOfIdleServices(state config.State) {
	inService := map[model.Service]bool{}
	for _, target := range state.Targets {
		isUsed := !target.Drain && !state.Zones[target.Zone].OutOfService
		inService[target.Service] = inService[target.Service] || isUsed
	}
	for _, service := range slices.Sorted(maps.Keys(inService)) {
		if !inService[service] {
			fmt.Fprintf(p.Stderr, "warning: service %q has no target in service; its requests are refused\n", service)
		}
	}
}

// listedNames is the number of names that an error lists.
const listedNames = 20

// listed returns the names of entities in order, for the error about an unknown one.
func listed[K ~string, V any](entities map[K]V) string {
	if len(entities) == 0 {
		return "none"
	}
	names := slices.Sorted(maps.Keys(entities))
	rest := len(names) - listedNames
	if rest > 0 {
		names = names[:listedNames]
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
