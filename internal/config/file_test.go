package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testInventory = `regions:
  - name: north
  - name: south
zones:
  - name: north-a
    region: north
  - name: south-a
    region: south
services:
  - name: desk
    keyed: true
    slots: 16
    fencing: checked
    concurrency: 4
    cold_start: 20s
    cold_initial: 1
    timeout: 2s
targets:
  - id: desk-1
    service: desk
    zone: north-a
    vm: vm-1
    address: 127.0.0.1:9001
    keys:
      - tenant: acme
        key: deadline-feed
tenants:
  - name: acme
    home_regions: [north]
`

func load(t *testing.T, inventory, rules string) (Loaded, error) {
	t.Helper()
	return Load(File{Name: "inventory.yaml", Data: []byte(inventory)}, File{Name: "rules.yaml", Data: []byte(rules)})
}

// TestLoadErrorsHavePositions guards against errors in files that lack the position or a hint to correct them.
func TestLoadErrorsHavePositions(t *testing.T) {
	cases := map[string]struct{ old, replacement, want string }{
		"unknown field":   {"keyed: true", "keyd: true", `inventory.yaml:11:5: keyd: unknown field "keyd"`},
		"duplicate field": {"keyed: true", "keyed: true\n    keyed: false", `inventory.yaml:12:5: keyed`},
		"duplicate name":  {"- name: south\n", "- name: north\n", `inventory.yaml:3:5: region "north": the name is already used in line 2`},
		"wrong type":      {"slots: 16", "slots: many", `inventory.yaml:12:12: slots`},
		"overflow":        {"slots: 16", "slots: 99999999999", `inventory.yaml:12:12: slots`},
		"bare duration":   {"timeout: 2s", "timeout: 2", `inventory.yaml:17:14: timeout: "2" is not a duration`},
		"wrong type text": {"slots: 16", "slots: many", `slots: the value "many" has the wrong type; write a value of the type`},
		"alias":           {"region: north", "region: &x north", `anchors`},
		"second document": {"tenants:", "---\ntenants:", `second document`},
		"not YAML":        {"regions:", "regions: [", `inventory.yaml:`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := load(t, strings.Replace(testInventory, c.old, c.replacement, 1), "")
			require.True(t, ErrSyntax == typeOf(err), "%v", err)
			assert.Contains(t, err.Error(), c.want)
			assert.NotEmpty(t, ProblemsOf(err)[0].Hint)
		})
	}
}

// TestLoadLimitsSize guards against files that exhaust memory or parse slowly, by their size or by deep nesting.
func TestLoadLimitsSize(t *testing.T) {
	for _, nested := range []string{"[", "- ", "{a: ", "? "} {
		_, err := load(t, "regions:\n"+strings.Repeat(nested, 1_000_000), "")
		require.True(t, ErrSyntax == typeOf(err), "%v", err)
		assert.Contains(t, err.Error(), "inventory.yaml:2:")
	}
	_, err := load(t, strings.Repeat("#", MaxFileBytes+1), "")
	assert.True(t, ErrTooLarge == typeOf(err), "%v", err)
}

// TestFormatRoundTrip guards against a formatted configuration that differs from the original when loaded again.
func TestFormatRoundTrip(t *testing.T) {
	loaded, err := load(t, testInventory, "retry_percent: 7\n")
	require.NoError(t, err)
	require.NoError(t, loaded.Validate())
	inventory, err := FormatInventory(loaded.State)
	require.NoError(t, err)
	rules, err := FormatRules(loaded.State)
	require.NoError(t, err)
	again, err := load(t, string(inventory), string(rules))
	require.NoError(t, err)
	assert.Empty(t, Preview(loaded.State, again.State))
	assert.InDelta(t, 7, again.State.Rules.RetryPercent, 0)
	assert.Equal(t, DefaultRules().Balance, again.State.Rules.Balance)
}

// TestValidateReportsAllProblems guards against validation that stops at the first problem, which operators would have
// to correct one at a time.
func TestValidateReportsAllProblems(t *testing.T) {
	broken := testInventory
	for _, change := range [][2]string{
		{"slots: 16", "slots: 65537"},
		{"fencing: checked", "fencing: maybe"},
		{"zone: north-a", "zone: south-a"},
		{"127.0.0.1:9001", "localhost:9001"},
		{"home_regions: [north]", "home_regions: [north, west]"},
		{"- name: south\n", "- name: any\n"},
		{"key: deadline-feed", "key: deadline-feed\n      - tenant: acme\n        key: deadline-feed"},
	} {
		broken = strings.Replace(broken, change[0], change[1], 1)
	}
	loaded, err := load(t, broken, "balance: p2c\nhedge_percent: .nan\n")
	require.NoError(t, err)
	err = loaded.Validate()
	require.True(t, ErrInvalid == typeOf(err), "%v", err)
	for _, want := range []string{
		`inventory.yaml:3:5: region "any": name: the name "any" is reserved`,
		`zone "south-a": region: there is no region "south"`,
		`inventory.yaml:12:5: service "desk": slots: 65537 is not between 1 and 65536`,
		`service "desk": fencing`, `tenant "acme": home_regions: there is no region "west"`,
		`target "desk-1": address: "localhost:9001" is not of the form IP:port`,
		`may not be served in region "south"`, `key "deadline-feed" is already declared for target "desk-1"`,
		`rules.yaml:1:1: rules "rules": balance`, `hedge_percent: NaN is not between`,
	} {
		assert.Contains(t, err.Error(), want)
	}
}

// TestEmptyInventory guards against the empty file of a failed export, which would remove all entities.
func TestEmptyInventory(t *testing.T) {
	for _, inventory := range []string{"", "# nothing\n", "null\n"} {
		_, err := load(t, inventory, "")
		require.ErrorContains(t, err, "inventory.yaml: the file is empty", inventory)
	}
}
