package front

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/tarragonpoint/tarragonpoint/internal/callerconn"
	"github.com/tarragonpoint/tarragonpoint/internal/dispatch"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// testTimeout limits a test that hangs; no assertion depends on its value.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// stub is a dispatch.Handler with functions that each test sets.
type stub struct {
	precheck func(dispatch.Preview) *dispatch.Response
	handle   func(dispatch.Request) dispatch.Response
	// context gets the context of each request before it is handled; nil for a test that needs none.
	context func(context.Context)
}

func (s stub) Precheck(_ context.Context, preview dispatch.Preview) *dispatch.Response {
	if s.precheck == nil {
		return nil
	}
	return s.precheck(preview)
}

func (stub) Timeout(model.Service) time.Duration { return testTimeout }

func (s stub) Handle(ctx context.Context, request dispatch.Request) dispatch.Response {
	if s.context != nil {
		s.context(ctx)
	}
	return s.handle(request)
}

func echo(request dispatch.Request) dispatch.Response {
	return dispatch.Response{Code: result.OK, Outcome: result.Ran, Status: http.StatusOK, Body: request.Body, Target: "t1", Fence: 7}
}

func wrongRegion(dispatch.Preview) *dispatch.Response {
	return &dispatch.Response{Code: result.WrongRegion, Outcome: result.NotRun, HomeRegions: []model.Region{"coast", "interior"}}
}

func startFront(t *testing.T, handler stub, change func(*Settings)) *Front {
	t.Helper()
	settings := Settings{Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", Handler: handler}
	if change != nil {
		change(&settings)
	}
	f, err := New(settings)
	require.NoError(t, err)
	require.NoError(t, f.Start(context.Background()))
	t.Cleanup(func() { stopFront(t, f) })
	return f
}

func stopFront(t *testing.T, f *Front) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(t, f.Stop(ctx))
}

// connect opens a TCP connection to the front, on which a test writes raw request bytes.
func connect(t *testing.T, f *Front) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", f.Address())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return conn, bufio.NewReader(conn)
}

func send(t *testing.T, conn net.Conn, firstLine string, headers ...string) {
	t.Helper()
	head := firstLine + " HTTP/1.1\r\nHost: entry\r\nTarragon-Tenant: granite\r\n"
	for _, header := range headers {
		head += header + "\r\n"
	}
	_, err := io.WriteString(conn, head+"\r\n")
	require.NoError(t, err)
}

func readResponse(t *testing.T, reader *bufio.Reader) (*http.Response, errorBody) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	var body errorBody
	_ = json.Unmarshal(data, &body) // Responses of targets are not JSON.
	return response, body
}

// A request that must not be served here is rejected before its body is read, and the connection is closed without
// waiting for the body.
func TestPrecheckRejectsBeforeBodyIsRead(t *testing.T) {
	f := startFront(t, stub{precheck: wrongRegion}, nil)
	for _, expect := range []string{"X-None: 1", "Expect: 100-continue"} {
		conn, reader := connect(t, f)
		send(t, conn, "POST /v1/alert-desk/notices", "Content-Length: 5000000", expect)
		response, body := readResponse(t, reader)
		require.Equal(t, http.StatusMisdirectedRequest, response.StatusCode)
		require.Equal(t, "coast, interior", response.Header.Get(HeaderHomeRegions))
		require.Equal(t, errorBody{109, "wrong-region", "not-run", body.Meaning, body.Action, ""}, body)
		require.True(t, response.Close)
		_, err := reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
}

// A caller that sends Expect: 100-continue receives 100 Continue once the precheck has passed.
func TestExpectContinue(t *testing.T) {
	f := startFront(t, stub{handle: echo}, nil)
	conn, reader := connect(t, f)
	send(t, conn, "POST /v1/alert-desk/drafts", "Content-Length: 4", "Expect: 100-continue")
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "100 Continue")
	_, err = reader.ReadString('\n')
	require.NoError(t, err)
	_, err = io.WriteString(conn, "body")
	require.NoError(t, err)
	response, _ := readResponse(t, reader)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, []string{"7", "ran", "t1"}, []string{response.Header.Get(HeaderEpoch), response.Header.Get(HeaderOutcome),
		response.Header.Get(HeaderTarget)})
	require.EqualValues(t, 4, response.ContentLength)
}

// Bodies over the limit, slow bodies and bodies beyond the total memory are rejected, and their memory is released.
// None of them may be reported as "not run" if an earlier attempt with the same request ID may have run.
func TestBodiesAreLimited(t *testing.T) {
	id := "Tarragon-Request-Id: " + model.NewRequestID().String()
	small := func(s *Settings) { s.MaxBodyBytes = 10 }
	cases := map[string]struct {
		change  func(*Settings)
		header  []string
		body    string
		code    result.Code
		outcome string
	}{
		"announced": {small, []string{"Content-Length: 11"}, "", result.BodyTooLarge, "not-run"},
		"chunked":   {small, []string{"Transfer-Encoding: chunked"}, "b\r\n01234567890\r\n", result.BodyTooLarge, "not-run"},
		"with ID":   {small, []string{"Content-Length: 11", id}, "", result.BodyTooLarge, "unknown"},
		"slow": {func(s *Settings) { s.BodyTimeout = time.Millisecond }, []string{"Content-Length: 4"}, "bo", result.BadRequest,
			"not-run"},
		"late": {nil, []string{"Content-Length: 4", "Tarragon-Deadline-Ms: 1"}, "bo", result.DeadlinePassed, "not-run"},
		"memory": {func(s *Settings) { s.MaxBodyBytes, s.MaxBufferedBytes = 40000, 40000 }, []string{"Content-Length: 30000"},
			strings.Repeat("x", 20000), result.Overloaded, "not-run"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFront(t, stub{handle: func(dispatch.Request) dispatch.Response { panic("must not be called") }}, c.change)
			conn, reader := connect(t, f)
			send(t, conn, "POST /v1/alert-desk/x", c.header...)
			_, err := io.WriteString(conn, c.body)
			require.NoError(t, err)
			_, body := readResponse(t, reader)
			require.Equal(t, c.code, body.Code)
			require.Equal(t, c.outcome, body.Outcome)
			require.NoError(t, conn.Close())
			stopFront(t, f)
			require.True(t, f.memory.TryAcquire(f.settings.MaxBufferedBytes), "all memory is released")
		})
	}
}

// A planned stop must not interrupt a request, and /readyz must report it to the load balancer before connections are
// refused.
func TestDrainDoesNotInterruptRequests(t *testing.T) {
	entered, proceed := make(chan struct{}), make(chan struct{})
	f := startFront(t, stub{handle: func(r dispatch.Request) dispatch.Response {
		close(entered)
		<-proceed
		return echo(r)
	}}, nil)
	conn, reader := connect(t, f)
	send(t, conn, "GET /v1/alert-desk/x")
	<-entered
	f.Drain()
	response, err := http.Get("http://" + f.AdminAddress() + "/readyz")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	http.DefaultClient.CloseIdleConnections()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	stopped := make(chan error)
	go func() { stopped <- f.Stop(context.Background()) }()
	close(proceed)
	response, _ = readResponse(t, reader)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.True(t, response.Close)
	require.NoError(t, <-stopped)
	_, err = net.Dial("tcp", conn.RemoteAddr().String())
	require.Error(t, err)
}

// Guards against a request whose caller's connection cannot be checked before it is sent to a target.
func TestDepartureOfCallerIsDetected(t *testing.T) {
	caller, detected := make(chan net.Conn, 1), make(chan bool, 1)
	f := startFront(t, stub{handle: echo, context: func(ctx context.Context) {
		wasOpen := !callerconn.IsClosed(ctx)
		_ = (<-caller).Close()
		isClosed := func() bool { return callerconn.IsClosed(ctx) }
		detected <- wasOpen && assert.Eventually(t, isClosed, testTimeout, time.Millisecond)
	}}, nil)
	conn, _ := connect(t, f)
	send(t, conn, "GET /v1/alert-desk/x")
	caller <- conn
	require.True(t, <-detected)
}

// A panic in the request path must neither end the process nor report that the request did not run.
func TestPanicReturnsUnknownOutcome(t *testing.T) {
	f := startFront(t, stub{handle: func(dispatch.Request) dispatch.Response { panic("fault") }}, nil)
	conn, reader := connect(t, f)
	send(t, conn, "GET /v1/alert-desk/x")
	_, body := readResponse(t, reader)
	require.Equal(t, "unknown", body.Outcome)
}

// Hop-by-hop headers must not be forwarded in either direction, and a caller must not be able to remove or forge
// Tarragon headers.
func TestHeadersAreFiltered(t *testing.T) {
	seen := make(chan http.Header, 1)
	f := startFront(t, stub{handle: func(r dispatch.Request) dispatch.Response {
		seen <- r.Header
		response := echo(r)
		response.Header = http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Tarragon-Code": {"9"}, "Content-Length": {"99"}, "X-End": {"1"}}
		return response
	}}, nil)
	conn, reader := connect(t, f)
	send(t, conn, "GET /v1/alert-desk/x", "Connection: Tarragon-Tenant, X-Drop", "X-Drop: 1", "Tarragon-Fence: 3", "Te: trailers", "X-Keep: 1")
	response, _ := readResponse(t, reader)
	require.Equal(t, http.Header{HeaderTenant: {"granite"}, "X-Keep": {"1"}}, <-seen)
	require.Equal(t, "0", response.Header.Get(HeaderCode))
	require.Empty(t, response.Header.Get("X-Hop"))
	require.Equal(t, "1", response.Header.Get("X-End"))
}

// Malformed headers must be rejected, not interpreted leniently; callers must not reach the targets' command paths.
func TestMalformedRequestsAreRejected(t *testing.T) {
	f := startFront(t, stub{handle: echo}, nil)
	cases := [][]string{
		{"GET /v1/alert-desk/x", "Tarragon-Tenant: second"},
		{"GET /v1/alert-desk/x", "Tarragon-Idempotent: yes"},
		{"GET /v1/alert-desk/x", "Tarragon-Deadline-Ms: -1"},
		{"GET /v1/alert-desk/x", "Tarragon-Key;:"},
		{"GET /v1/alert-desk/x", "Tarragon-Request-Id: urn:uuid:" + model.NewRequestID().String()},
		{"GET /v1/alert-desk/tarragon/v1/renew"},
		{"GET /v1/alert-desk//%74arragon/v1/renew"},
		{"GET /v1/alert-desk/a/%2e%2e/tarragon/v1/renew"},
		{"GET /v1/alert%2Fdesk/x"},
		{"GET /v1/alert-desk"},
		{"TRACK /v1/alert-desk/x"},
	}
	for _, c := range cases {
		conn, reader := connect(t, f)
		send(t, conn, c[0], c[1:]...)
		response, _ := readResponse(t, reader)
		require.Equal(t, http.StatusBadRequest, response.StatusCode, c)
	}
}

// Connections beyond the limit must wait in the accept queue, where they take no memory of the process.
func TestConnectionsAreLimited(t *testing.T) {
	f := startFront(t, stub{handle: echo}, func(s *Settings) { s.MaxConnections = 1 })
	first, reader := connect(t, f)
	send(t, first, "GET /v1/alert-desk/1")
	readResponse(t, reader)
	second, waiting := connect(t, f)
	send(t, second, "GET /v1/alert-desk/2")
	require.Len(t, f.callers.listener.(*limitedListener).slots, 1)
	require.NoError(t, first.Close())
	response, _ := readResponse(t, waiting)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// A request that the parser accepts must not have a path or value that a target would interpret differently.
func FuzzParseRequest(f *testing.F) {
	f.Add("/v1/alert-desk/x?y=1", "granite", "key", model.NewRequestID().String(), "true", "100")
	f.Add("/v1/a/%2e./tarragon", "", "\x00", "{}", "TRUE", "0")
	f.Add("/v1/a//Tarragon/v1/renew", "t t", "\xff", "", "", "99999999999")
	f.Fuzz(func(t *testing.T, target, tenant, key, id, idempotent, deadline string) {
		raw := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nTarragon-Tenant: %s\r\nTarragon-Key: %s\r\nTarragon-Request-Id: %s\r\n"+
			"Tarragon-Idempotent: %s\r\nTarragon-Deadline-Ms: %s\r\n\r\n", target, tenant, key, id, idempotent, deadline)
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader([]byte(raw))))
		if err != nil {
			return
		}
		p, err := parseRequest(r, time.Time{})
		if err != nil {
			require.True(t, errorIs(err, ErrRequest))
			return
		}
		require.True(t, strings.HasPrefix(p.path, "/"))
		seen, err := url.ParseRequestURI(p.path)
		require.NoError(t, err)
		joined := seen.JoinPath().Path
		require.False(t, strings.HasPrefix(strings.ToLower(joined), "/tarragon/"), "a target would read %q", joined)
		require.NotEmpty(t, p.preview.Tenant)
		require.Equal(t, p.preview.Idempotent, r.Header.Get(HeaderIdempotent) == "true")
		require.Positive(t, p.timeout)
	})
}

// A header above the limit must get a response with a result code and the limit, and the request must not reach the
// dispatcher.
func TestLargeHeaderIsRejectedWithCode(t *testing.T) {
	f := startFront(t, stub{handle: func(dispatch.Request) dispatch.Response { panic("the request was served") }},
		func(s *Settings) { s.MaxHeaderBytes = 2048 })
	conn, reader := connect(t, f)
	send(t, conn, "GET /v1/alerts/x", "X-Large: "+strings.Repeat("a", 3000))
	response, body := readResponse(t, reader)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	require.Equal(t, "101", response.Header.Get(HeaderCode))
	require.Equal(t, "not-run", body.Outcome)
	require.Contains(t, body.Detail, "want at most 2048")
}

// The request timeout of the entry VM applies to requests for which the service or the caller allows more time.
func TestRequestTimeoutLimitsTheDeadline(t *testing.T) {
	var allowed time.Duration
	f := startFront(t, stub{handle: func(r dispatch.Request) dispatch.Response {
		allowed = r.Deadline.Sub(r.Received)
		return echo(r)
	}}, func(s *Settings) { s.RequestTimeout = 2 * time.Second })
	conn, reader := connect(t, f)
	send(t, conn, "GET /v1/alerts/x", "Tarragon-Deadline-Ms: 9000")
	response, _ := readResponse(t, reader)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, 2*time.Second, allowed)
}

// The entry role stops the front twice; the second stop must not wait for the drain delay again.
func TestSecondStopDoesNotDelay(t *testing.T) {
	f := startFront(t, stub{handle: echo}, func(s *Settings) { s.DrainDelay = 100 * testTimeout })
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = f.Stop(ended) // The first stop may return an error because its context has ended.
	stopFront(t, f)
}
