package bench

import (
	"encoding/json"
	"fmt"
	"io"
)

// Report holds the results of all runs.
type Report struct {
	Seed  uint64  `json:"seed"`
	Churn []Churn `json:"churn"`
	Runs  []Run   `json:"runs"`
}

// MeasureAll measures the churn and runs every scenario for each deployment with each stack.
func MeasureAll(deployments []Deployment, stacks []Stack, scenarios []Scenario, seed uint64) (Report, error) {
	report := Report{Seed: seed}
	for _, deployment := range deployments {
		for _, stack := range stacks {
			report.Churn = append(report.Churn, MeasureChurn(deployment, stack))
		}
		for _, scenario := range scenarios {
			for _, stack := range stacks {
				runs, err := Measure(deployment, stack, scenario, seed)
				if err != nil {
					return report, err
				}
				report.Runs = append(report.Runs, runs...)
			}
		}
	}
	return report, nil
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as Markdown tables.
func (r Report) WriteTable(w io.Writer) error {
	out := &printer{w: w}
	out.printf("| deployment | stack | slots moved by a join | by a leave | by a loss |\n|---|---|---|---|---|\n")
	for _, c := range r.Churn {
		out.printf("| %s | %s | %.1f | %.1f | %.1f |\n", c.Deployment, c.Stack, c.Join, c.Leave, c.Failure)
	}
	out.printf("\n| scenario | service | stack | in time %% | p50 ms | p99 ms | p99.9 ms | max/mean requests | " +
		"max/mean slots | slots moved | down slot-s | longest down ms | cross Mbit/s |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for i := range r.Runs {
		run := &r.Runs[i]
		out.printf("| %s | %s | %s | %.2f | %.1f | %.1f | %.1f | %.2f | %.2f | %d | %.1f | %.0f | %.1f |\n",
			run.Scenario, run.Service, run.Stack, run.InTimePercent, run.P50, run.P99, run.P999,
			run.RequestImbalance, run.SlotImbalance, run.Moved, run.DownSlotSeconds, run.DownMaxMs, run.CrossMbit)
	}
	return out.err
}

// printer keeps the first error of a series of writes.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}
