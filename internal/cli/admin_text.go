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

// print writes the response of an admin endpoint as JSON or as formatted text.
func (p *Program) print(options adminFlags, body []byte, format func(out io.Writer, body []byte) error) error {
	if options.isJSON {
		fmt.Fprintf(p.Stdout, "%s\n", body)
		return nil
	}
	return format(p.Stdout, body)
}

func formatOwner(out io.Writer, body []byte) error {
	var owner admin.Owner
	if err := decodeResponse(body, &owner); err != nil {
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
func formatStatus(out io.Writer, body []byte) error {
	var status admin.Status
	if err := decodeResponse(body, &status); err != nil {
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

func decodeResponse(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return failure(result.AdminUnavailable, "the response of the entry VM has an unexpected format; use the tarragonpoint version of the entry VM: %v", err)
	}
	return nil
}
