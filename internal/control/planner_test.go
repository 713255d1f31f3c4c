package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// Slow targets must keep their slots if the rule is off, and a slow target must never lose all of its slots.
func TestSlowTargetWeight(t *testing.T) {
	rules := config.Rules{}
	require.Equal(t, 1.0, slowWeight(rules, &route.Status{Withheld: 60}))
	rules.SlowTargetWeight = true
	require.Equal(t, 1.0, slowWeight(rules, nil))
	require.Equal(t, 1.0, slowWeight(rules, &route.Status{}))
	require.InDelta(t, 0.4, slowWeight(rules, &route.Status{Withheld: 60}), 1e-9)
	require.Equal(t, minSlowWeight, slowWeight(rules, &route.Status{Withheld: 100}))
}
