package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
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

// Guards against a rejection that is lost by a caller that reads only after it has sent its whole body, and against a caller
// that stops sending and never gets its rejection or holds the connection without a bound.
func TestRejectionReachesCallerThatSendsFirst(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	const length = 16 << 20
	body := strings.Repeat("u", length)
	for name, c := range map[string]struct {
		path, header string
		status       int
	}{
		"no route":   {"/nowhere/1", "X-None: 1", http.StatusNotFound},
		"malformed":  {"/notices/1", "X-Tarragonpoint-Deadline-Ms: soon", http.StatusBadRequest},
		"large body": {"/notices/1", "X-None: 1", http.StatusRequestEntityTooLarge},
		"no key":     {"/drafts/1", "X-None: 1", http.StatusBadRequest},
		"deadline":   {"/notices/1", "X-Tarragonpoint-Deadline-Ms: 0.001", http.StatusServiceUnavailable},
	} {
		for _, sent := range []int{length, 10} {
			// The rest of a body that is shorter than sent never comes.
			announced := max(sent, 4000)
			if sent < length && name == "large body" {
				announced = length
			}
			t.Run(fmt.Sprint(name, " ", sent), func(t *testing.T) {
				t.Parallel()
				conn, err := net.Dial("tcp4", f.gateway.settings.ListenCallers)
				require.NoError(t, err)
				t.Cleanup(func() { _ = conn.Close() })
				require.NoError(t, conn.SetDeadline(time.Now().Add(settleTime)))
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\n%s\r\nContent-Length: %d\r\n\r\n",
					c.path, c.header, announced)
				require.NoError(t, err)
				_, err = io.WriteString(conn, body[:sent])
				require.NoError(t, err)
				reader := bufio.NewReader(conn)
				response, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				assert.Equal(t, c.status, response.StatusCode)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
				_, err = reader.ReadByte()
				require.Error(t, err)
				assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection stays open")
			})
		}
	}
}
