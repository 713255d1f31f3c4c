// Command bench computes the policy figures of docs/POLICY.md in a simulation. It runs in virtual time and opens no
// connections.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/tarragonpoint/tarragonpoint/internal/bench"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the random load")
	variants := flag.Bool("variants", false, "compare the policy with its variants instead of with the baseline")
	jsonPath := flag.String("json", "", "file to which the results are written as JSON")
	only := flag.String("scenario", "", "run only the scenario with this name")
	utilization := flag.Float64("utilization", 0, "fraction of the capacity that the load uses; 0 selects the default")
	flag.Parse()
	deployments := []bench.Deployment{bench.Granite(), bench.Skyframe()}
	for i := range deployments {
		if *utilization > 0 {
			deployments[i].Utilization = *utilization
		}
	}
	if err := run(deployments, *seed, *variants, *jsonPath, *only); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(deployments []bench.Deployment, seed uint64, variants bool, jsonPath, only string) error {
	stacks := []bench.Stack{bench.Baseline(), bench.Policy()}
	if variants {
		stacks = bench.Variants()
	}
	scenarios := bench.Scenarios()
	if only != "" {
		scenarios = selectScenario(scenarios, only)
	}
	report, err := bench.MeasureAll(deployments, stacks, scenarios, seed)
	if err != nil {
		return err
	}
	if jsonPath != "" {
		if err := writeJSON(report, jsonPath); err != nil {
			return err
		}
	}
	return report.WriteTable(os.Stdout)
}

func selectScenario(scenarios []bench.Scenario, name string) []bench.Scenario {
	for _, scenario := range scenarios {
		if scenario.Name == name {
			return []bench.Scenario{scenario}
		}
	}
	return nil
}

func writeJSON(report bench.Report, path string) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	return report.WriteJSON(file)
}
