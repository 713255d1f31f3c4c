package keyspace

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

// Defaults of the fuzz tests. With a fixed seed CI reaches the same verdict every time.
const (
	defaultChecks = "150"
	// shortChecks is for the race detector, under which a check takes about ten times as long. rapid divides it by 5.
	shortChecks = "50"
	defaultSeed = "37"
)

// disorderNames limits the kinds of disorder that TestOneHolderUnderFaults plays, to find out which of them a failure needs.
var disorderNames = flag.String("keyspace.disorders", "all", `kinds of disorder to play, comma-separated, "all" or "none"`)

// playedDisorders returns the kinds of disorder that the command line asks for.
func playedDisorders() []disorder {
	var played []disorder
	for kind := disorder(0); kind < disorderKinds; kind++ {
		if kind == olderVersions {
			// TestOneHolderWithUndecodedRecords plays it alone.
			continue
		}
		if *disorderNames == "all" || strings.Contains(","+*disorderNames+",", ","+kind.String()+",") {
			played = append(played, kind)
		}
	}
	return played
}

// TestMain sets the rapid flags to the defaults above, except those given on the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	defaults := map[string]string{"rapid.checks": defaultChecks, "rapid.seed": defaultSeed, "rapid.nofailfile": "true"}
	if testing.Short() {
		defaults["rapid.checks"] = shortChecks
	}
	for name, value := range defaults {
		if set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, "keyspace:", err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
