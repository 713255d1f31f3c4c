package requests

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// defaults are the defaults of the rapid flags. With a fixed seed CI runs the same scripts of actions every time.
var defaults = map[string]string{
	"rapid.checks": "8", "rapid.seed": "1", "rapid.nofailfile": "true", "rapid.shrinktime": "10s",
}

// TestMain sets the rapid flags to the defaults above, except those given on the command line.
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
