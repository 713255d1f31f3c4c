package testbed

import (
	"context"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// Target is a stand-in target and its process.
type Target struct {
	*Process
	// Inventory is the target's entry in the inventory, with the address that it listens on.
	Inventory config.Target
	command   command
	journal   string
}

func (c *Cluster) startTargets(ctx context.Context) error {
	for _, id := range sortedIDs(c.State.Targets) {
		inventory := c.State.Targets[id]
		if !c.options.KeepAddresses || !addresses.reserve(string(inventory.Address)) {
			address, err := addresses.free()
			if err != nil {
				return err
			}
			inventory.Address = target.Address(address)
			c.State.Targets[id] = inventory
		}
		if err := c.startTarget(inventory); err != nil {
			return err
		}
	}
	for _, started := range c.Targets {
		if err := awaitListening(ctx, started.Process, string(started.Inventory.Address)); err != nil {
			return err
		}
	}
	return nil
}

func sortedIDs(targets map[model.TargetID]config.Target) []model.TargetID {
	ids := make([]model.TargetID, 0, len(targets))
	for id := range targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Cluster) startTarget(inventory config.Target) error {
	service := c.State.Services[inventory.Service]
	journal := filepath.Join(c.options.Dir, string(inventory.ID)+".journal")
	args := []string{"target", "--id", string(inventory.ID), "--listen", string(inventory.Address), "--journal", journal,
		"--vm", string(inventory.VM), "--zone", string(inventory.Zone), "--store", c.StoreURL, "--service", string(inventory.Service),
		"--concurrency", strconv.Itoa(service.Concurrency), "--cold-start", service.ColdStart.String(),
		"--cold-initial", strconv.Itoa(service.ColdInitial)}
	if service.Fencing != route.FencingChecked {
		args = append(args, "--unchecked")
	}
	started := command{name: "target-" + string(inventory.ID), path: c.options.Programs.StandIn, args: args}
	p, err := c.run(started)
	if err != nil {
		return err
	}
	c.Targets[inventory.ID] = &Target{Process: p, Inventory: inventory, command: started, journal: journal}
	return nil
}

// RestartTarget restarts a target that was killed, with the same address and without its former state. It waits until
// the target listens.
func (c *Cluster) RestartTarget(ctx context.Context, id model.TargetID) error {
	restarted := c.Targets[id]
	p, err := c.run(restarted.command)
	if err != nil {
		return err
	}
	restarted.Process = p
	return awaitListening(ctx, p, string(restarted.Inventory.Address))
}

// Runs returns the runs in the journals of all targets, including those of killed ones.
func (c *Cluster) Runs() ([]Run, error) {
	var runs []Run
	for id, started := range c.Targets {
		lines, err := standin.ReadJournal(started.journal)
		if err != nil {
			return nil, err
		}
		runs = append(runs, mergeJournal(id, started.Inventory.Zone, lines)...)
	}
	return runs, nil
}

// mergeJournal merges the journal lines of the start and the end of each run into one run.
func mergeJournal(id model.TargetID, zone model.Zone, lines []standin.JournalLine) []Run {
	type key struct {
		incarnation model.Incarnation
		attempt     string
		start       model.Instant
	}
	var runs []Run
	positions := map[key]int{}
	for _, line := range lines {
		k := key{line.Run.Incarnation, line.Run.Attempt, line.Run.Start}
		position, started := positions[k]
		if started {
			runs[position].Run = line.Run
			continue
		}
		positions[k] = len(runs)
		runs = append(runs, Run{Run: line.Run, Target: id, Zone: zone, StartedAt: time.Unix(0, line.AtNanos)})
	}
	return runs
}
