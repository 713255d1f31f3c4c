package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/tarragonpoint/tarragonpoint/internal/admin"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// columnGap is the number of spaces between two columns of a table.
const columnGap = 2

// print writes an answer of an admin endpoint as JSON or as text for people.
func (p *Program) print(asked adminFlags, answer []byte, format func(out io.Writer, answer []byte) error) error {
	if asked.isJSON {
		fmt.Fprintf(p.Stdout, "%s\n", answer)
		return nil
	}
	return format(p.Stdout, answer)
}

func formatOwner(out io.Writer, answer []byte) error {
	var owner admin.Owner
	if err := decodeAnswer(answer, &owner); err != nil {
		return err
	}
	state := admin.Target{InService: true, Status: owner.Status}.State()
	fmt.Fprintf(out, "owner:  %s in zone %s (%s)\n", owner.Owner, owner.Zone, state)
	fmt.Fprintf(out, "slot:   %s, epoch %d\n", owner.Slot, owner.Epoch)
	if owner.Status != nil {
		fmt.Fprintf(out, "lessor: %s, term %s\n", owner.Status.Lessor, owner.Status.Term)
	}
	fmt.Fprintf(out, "why:    %s\n", owner.Reason)
	return nil
}

// formatStatus writes one line about the entry VM and a table of the targets.
func formatStatus(out io.Writer, answer []byte) error {
	var status admin.Status
	if err := decodeAnswer(answer, &status); err != nil {
		return err
	}
	readiness := "not ready"
	if status.Ready {
		readiness = "ready"
	}
	fmt.Fprintf(out, "%s in zone %s, region %s: %s, configuration version %d, assignment offset %d\n",
		status.VM, status.Zone, status.Region, readiness, status.ConfigVersion, status.AssignOffset)
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(table, "TARGET\tSERVICE\tZONE\tSTATE\tSLOTS\tLOAD\tLIMIT\tLESSOR")
	for _, target := range status.Targets {
		load, limit, lessor := "-", "-", "-"
		if target.Status != nil {
			load = fmt.Sprint(target.Status.Load)
			limit = fmt.Sprint(target.Status.Limit)
			lessor = string(target.Status.Lessor)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n",
			target.ID, target.Service, target.Zone, target.State(), target.Slots, load, limit, lessor)
	}
	return table.Flush()
}

func decodeAnswer(answer []byte, into any) error {
	if err := json.Unmarshal(answer, into); err != nil {
		return failure(result.AdminUnavailable, "the entry VM's answer has another form; use the version of the entry VM: %v", err)
	}
	return nil
}
