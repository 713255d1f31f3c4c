package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a rejection that its caller does not get: a request that is rejected before its body is read, here because
// no route matches, ends with a reset connection while the caller still sends.
func TestRejectionReachesCallerThatIsSending(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	body := strings.Repeat("u", 16<<20)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range 15 {
		request, err := http.NewRequest(http.MethodPost, "http://"+f.gateway.settings.ListenCallers+"/nowhere/1", strings.NewReader(body))
		assert.NoError(t, err)
		request.Host = "a.example"
		request.Header.Set("X-Tarragonpoint-Attempt-Id", fmt.Sprint("e-", i))
		response, err := client.Do(request)
		if assert.NoError(t, err) {
			assert.Equal(t, http.StatusNotFound, response.StatusCode)
			_ = response.Body.Close()
		}
	}
}
