package callerconn

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a caller that sends an endless body after its rejection and is read without a bound.
func TestRestOfBodyIsBounded(t *testing.T) {
	t.Parallel()
	reachedEnd := make(chan bool, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		PrepareEarly(w, r)
		w.WriteHeader(http.StatusNotFound)
		reachedEnd <- DiscardBody(w, r, DiscardTimeout)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	caller, err := net.Dial("tcp4", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	_, err = fmt.Fprint(caller, "POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n")
	require.NoError(t, err)
	chunk := "100000\r\n" + strings.Repeat("u", 1<<20) + "\r\n"
	sent := 0
	for err == nil {
		n := 0
		n, err = caller.Write([]byte(chunk))
		sent += n
	}
	assert.False(t, <-reachedEnd)
	// Some of what was sent stays in the buffers of both ends.
	assert.Less(t, sent, 2*discardBytes)
}
