package front

import (
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/dispatch"
)

// Guards against a rejection that its caller does not get: the caller reads only after it has sent its whole body, and the
// connection is reset meanwhile.
func TestRejectionReachesCallerThatIsSending(t *testing.T) {
	body := strings.Repeat("u", 4<<20)
	served := stub{handle: func(dispatch.Request) dispatch.Response { panic("the request was served") }}
	cases := map[string]struct {
		handler stub
		change  func(*Settings)
		path    string
		header  string
		status  int
	}{
		"precheck":  {stub{precheck: wrongRegion}, nil, "/v1/alert-desk/x", "X-None: 1", http.StatusMisdirectedRequest},
		"no path":   {served, nil, "/nowhere", "X-None: 1", http.StatusBadRequest},
		"malformed": {served, nil, "/v1/alert-desk/x", "Tarragon-Idempotent: yes", http.StatusBadRequest},
		"large header": {served, func(s *Settings) { s.MaxHeaderBytes = 2048 }, "/v1/alert-desk/x",
			"X-Large: " + strings.Repeat("a", 3000), http.StatusRequestHeaderFieldsTooLarge},
		"large body": {served, func(s *Settings) { s.MaxBodyBytes = 4096 }, "/v1/alert-desk/x", "X-None: 1",
			http.StatusRequestEntityTooLarge},
		"memory": {served, func(s *Settings) { s.MaxBodyBytes, s.MaxBufferedBytes = 4<<20, 4<<20 },
			"/v1/alert-desk/x", "X-None: 1", http.StatusServiceUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFront(t, c.handler, c.change)
			for range 5 {
				conn, reader := connect(t, f)
				send(t, conn, "POST "+c.path, "Content-Length: 4194304", c.header)
				_, err := conn.Write([]byte(body))
				if !assert.NoError(t, err) {
					continue
				}
				response, _ := readResponse(t, reader)
				assert.Equal(t, c.status, response.StatusCode)
				assert.True(t, response.Close)
			}
		})
	}
}

// Guards against a rejected caller that stops sending and never gets its response, or holds the connection without a bound.
func TestRejectedCallerThatStopsSendingGetsItsResponse(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"discard":      nil,
		"body timeout": func(s *Settings) { s.BodyTimeout = 100 * time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			f := startFront(t, stub{precheck: wrongRegion}, change)
			conn, reader := connect(t, f)
			require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout/2)))
			send(t, conn, "POST /v1/alert-desk/x", "Content-Length: 4000")
			_, err := conn.Write([]byte("part"))
			require.NoError(t, err)
			response, _ := readResponse(t, reader)
			require.Equal(t, http.StatusMisdirectedRequest, response.StatusCode)
			_, err = reader.ReadByte()
			require.Error(t, err)
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
		})
	}
}

// Guards against rejections that cost a caller its connection although its body has been read, and against the rest of a body
// that is taken for a request.
func TestRejectedCallerKeepsItsConnection(t *testing.T) {
	f := startFront(t, stub{precheck: wrongRegion}, nil)
	conn, reader := connect(t, f)
	for _, framing := range []string{"Content-Length: 4000", "Transfer-Encoding: chunked"} {
		for range 3 {
			send(t, conn, "POST /v1/alert-desk/x", framing)
			body := strings.Repeat("u", 4000)
			if strings.HasPrefix(framing, "Transfer") {
				body = "fa0\r\n" + body + "\r\n0\r\n\r\n"
			}
			response, _ := readResponse(t, reader)
			require.Equal(t, http.StatusMisdirectedRequest, response.StatusCode)
			require.False(t, response.Close)
			_, err := conn.Write([]byte(body))
			require.NoError(t, err)
		}
	}
}
