package result

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const pageHeader = "| code | name | outcome | HTTP status | exit code | meaning | what to do |\n|---|---|---|---|---|---|---|\n"

// TestPageMatchesTable guards against differences between docs/RESULTCODES.md and the table.
func TestPageMatchesTable(t *testing.T) {
	var rows strings.Builder
	for _, info := range Table() {
		fmt.Fprintf(&rows, "| %d | `%s` | %s | %s | %s | %s | %s |\n",
			info.Code, info.Name, info.Outcome, orDash(info.HTTPStatus), exitText(info), info.Meaning, info.Action)
	}
	page, err := os.ReadFile("../../docs/RESULTCODES.md")
	require.NoError(t, err)
	assert.Contains(t, string(page), "\n\n"+pageHeader+rows.String()+"\n")
}

// TestCodesAreUnique guards against two codes with the same number or name.
func TestCodesAreUnique(t *testing.T) {
	names, last := map[string]bool{}, -1
	for _, info := range Table() {
		assert.Greater(t, int(info.Code), last, "codes are in order")
		assert.False(t, names[info.Name], info.Name)
		assert.Equal(t, info, Lookup(info.Code))
		names[info.Name], last = true, int(info.Code)
	}
	assert.Equal(t, Internal, Lookup(999).Code)
}

func orDash(value int) string {
	if value == 0 {
		return "-"
	}
	return fmt.Sprint(value)
}

// exitText returns 0 for OK, the code of a successful command, and a dash for codes that no command ends with.
func exitText(info Info) string {
	if info.Code == OK {
		return "0"
	}
	return orDash(info.Exit)
}
