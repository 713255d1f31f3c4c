package proof

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Defaults of the stateful fuzz. With a fixed seed CI reaches the same verdict every time.
const (
	defaultChecks = "25"
	defaultSteps  = "40"
	defaultSeed   = "1"
)

// TestMain gives the fuzz fixed seeds unless the command line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	defaults := map[string]string{
		"rapid.checks": defaultChecks,
		"rapid.steps":  defaultSteps,
		"rapid.seed":   defaultSeed,
	}
	for name, value := range defaults {
		if set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, "proof:", err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
