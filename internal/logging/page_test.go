package logging

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var alertingCall = regexp.MustCompile(`\.(Warn|Error)\("([^"]+)"`)

// TestPageListsAllWarnings guards against a line at level warning or error that the operating manual does not list with
// its remedy.
func TestPageListsAllWarnings(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATING.md")
	require.NoError(t, err)
	found := 0
	require.NoError(t, filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, call := range alertingCall.FindAllStringSubmatch(string(source), -1) {
			found++
			level := map[string]string{"Warn": "warning", "Error": "error"}[call[1]]
			require.Regexp(t, `\| `+level+` \| \w+: `+regexp.QuoteMeta(call[2])+` \|`, string(page), path)
		}
		return nil
	}))
	require.Positive(t, found)
}
