package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/tarragonpoint/tarragonpoint/internal/standin/platformstub"
)

// hasCountedBroken reports whether a VM has counted an attempt that broke off with the given finding about its target.
func hasCountedBroken(g *gateway, found targetLiveness) bool {
	g.metrics.mu.Lock()
	defer g.metrics.mu.Unlock()
	return g.metrics.counters[counterKey{name: "broken_attempts", label: "target", value: found.String()}] != nil
}

// A target whose process has ended is told from one that closes a connection and lives on.
func TestEndOfTargetIsDetected(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	f.setModes(platformstub.Drop, "d-1", "d-2")
	assert.Equal(t, http.StatusBadGateway, f.send(http.MethodPost, "/notices/1", "n-1", "x").status)
	assert.True(t, hasCountedBroken(f.gateway, livenessAccepts))
	assert.False(t, hasCountedBroken(f.gateway, livenessEnded))
	f.setModes(platformstub.Serve, "d-1", "d-2")
	for _, target := range f.targets {
		target.CrashOn(func(request *http.Request) bool { return request.URL.Path == "/notices/crash" })
	}
	assert.Equal(t, http.StatusBadGateway, f.send(http.MethodPost, "/notices/crash", "n-2", "x").status)
	assert.True(t, hasCountedBroken(f.gateway, livenessEnded))
	assert.Equal(t, http.StatusOK, f.send(http.MethodPost, "/notices/1", "n-3", "x").status, "the other target lives on")
}
