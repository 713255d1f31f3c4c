package requests

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

// Defaults of the stateful fuzz. With a fixed seed CI runs the same scripts every time.
var defaults = map[string]string{"rapid.checks": "8", "rapid.seed": "1", "rapid.nofailfile": "true", "rapid.shrinktime": "10s"}

// TestMain gives the fuzz fixed seeds unless the command line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range defaults {
		if set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, "requests:", err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

// knownRed lists the tests that fail because of a fault that is not mended yet. KNOWN_RED=1 runs them.
const knownRed = "../../../KNOWN-RED.txt"

// skipKnownRed passes over exactly the tests that the list names.
func skipKnownRed(t *testing.T) {
	listed, err := os.ReadFile(knownRed)
	if err != nil || os.Getenv("KNOWN_RED") != "" {
		return
	}
	if strings.Contains(string(listed), t.Name()+":") {
		t.Skipf("known red: see KNOWN-RED.txt")
	}
}
