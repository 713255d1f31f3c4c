package config

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// TestExamples guards against examples that cannot be published, or whose target counts differ from those of the two
// deployments for which the software is designed (section 1.3 of the design page).
func TestExamples(t *testing.T) {
	cases := map[string]map[model.Service]int{
		"granite":  {"alert-desk": 20, "draft-review": 12},
		"skyframe": {"forecast-svc": 17, "media-svc": 13},
	}
	for name, sizes := range cases {
		t.Run(name, func(t *testing.T) {
			state := example(t, name)
			assert.Len(t, state.Zones, 4)
			counted := map[model.Service]int{}
			for _, target := range state.Targets {
				counted[target.Service]++
			}
			assert.Equal(t, sizes, counted)
			patch, err := Diff(Empty(), state, "ana")
			require.NoError(t, err)
			_, err = Apply(Empty(), 1, patch)
			require.NoError(t, err)
		})
	}
}

func example(t *testing.T, name string) State {
	t.Helper()
	var files []File
	for _, part := range []string{".inventory.yaml", ".rules.yaml"} {
		data, err := os.ReadFile("../../examples/" + name + part)
		require.NoError(t, err)
		files = append(files, File{Name: name + part, Data: data})
	}
	loaded, err := Load(files[0], files[1])
	require.NoError(t, err)
	require.NoError(t, loaded.Validate())
	return loaded.State
}
