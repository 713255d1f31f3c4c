package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/bounds"
)

// Guards against uploads that together fill the memory of a VM, which ends the requests of all its callers: those for which
// there is no memory are rejected before they are read, and other requests are served meanwhile.
func TestUploadsShareTheMemoryForBodies(t *testing.T) {
	t.Parallel()
	const length = 16 << 20
	f := startFixture(t)
	f.store.Put("keyed.op", "config", []byte(strings.Replace(fmt.Sprintf(testConfig, 2, "3s"), `"max-body-bytes":4096`, `"max-body-bytes":67108864`, 1)))
	require.Eventually(t, func() bool { return f.gateway.state.config.Load().Version == 2 }, settleTime, 10*time.Millisecond)
	for _, target := range f.targets {
		target.SetWork(time.Second)
	}
	g := f.newVM("vm-2")
	g.callerBodies = bounds.NewBodyMemory(3 * length)
	f.runVM(g)
	require.Eventually(t, func() bool {
		response := f.sendTo(g, http.MethodPost, "/notices/warm", fmt.Sprint("w-", time.Now().UnixNano()), "small")
		return response.status == http.StatusOK
	}, settleTime, 10*time.Millisecond)
	body := strings.Repeat("u", length)
	const uploads = 6
	statuses := make(chan testResponse, uploads)
	for i := range uploads {
		go func() {
			var response testResponse
			// sendTo ends the goroutine if the caller gets no response.
			defer func() { statuses <- response }()
			response = f.sendTo(g, http.MethodPost, "/notices/1", fmt.Sprint("u-", i), body)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, http.StatusOK, f.sendTo(g, http.MethodPost, "/notices/2", "small", "small").status)
	served, rejected := 0, 0
	for range uploads {
		response := <-statuses
		switch response.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			rejected++
			assert.NotEmpty(t, response.header.Get("Retry-After"), response.body)
		}
	}
	assert.Equal(t, 3, served)
	assert.Equal(t, uploads-3, rejected)
	assert.EqualValues(t, 3*length, g.callerBodies.Free(), "all memory is returned")
	for i := range uploads {
		id := fmt.Sprint("u-", i)
		assert.LessOrEqual(t, f.runs(id), 1, id)
	}
}
