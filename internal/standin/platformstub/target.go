package platformstub

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode determines how a target handles requests.
type Mode uint8

// Modes of a target.
const (
	// Serve responds to requests after the target's work time.
	Serve Mode = iota
	// Shed rejects requests without running them.
	Shed
	// Hang neither runs requests nor responds to them.
	Hang
	// Drop runs requests and closes the connection without a response.
	Drop
	// Fail runs requests and responds with status 500.
	Fail
	// Unsealed runs requests and responds without the server seal, the header for the target's digest of the response.
	// Serve, Fail and WrongAttemptID send a fixed text in it, because the router only checks whether it is present.
	Unsealed
	// Pause rejects requests without running them and asks for a pause of PauseSeconds.
	Pause
	// WrongAttemptID runs requests and responds with the attempt ID of another request, like a stale response.
	WrongAttemptID
)

// PauseSeconds is the pause that targets in mode Pause ask for.
const PauseSeconds = 2

// Target is a stand-in for a server instance.
type Target struct {
	ID string

	server *httptest.Server
	mu     sync.Mutex
	mode   Mode
	// leaving is true if all responses state that the target is about to stop.
	leaving bool
	// keyless is true if the target's service has no keys.
	keyless bool
	// crashOn reports whether a request ends the target's process when the target begins to run it; nil for none.
	crashOn func(*http.Request) bool
	// ended is true once the target has crashed.
	ended bool
	// startedAtMillis is the start of the process that the target registers, in Unix milliseconds.
	startedAtMillis int64
	// coldLeft is the rest of the cold start that health checks state; checks counts them.
	coldLeft time.Duration
	checks   int
	// arrivals counts the requests, including rejected ones.
	arrivals int
	work     time.Duration
	runs     map[string]int
	holds    []heldRange // all grants and releases, in order of receipt
}

// heldRange is a range of keys from a grant or a release. The target holds it before until, which is zero after a
// release.
type heldRange struct {
	from, to int
	fence    uint64
	until    time.Time
}

// NewTarget starts a target on the loopback interface. The caller must close it.
func NewTarget(id string, work time.Duration) *Target {
	t := &Target{ID: id, work: work, startedAtMillis: 1, runs: map[string]int{}}
	t.server = httptest.NewServer(http.HandlerFunc(t.serve))
	return t
}

// Address returns the address as IP:port.
func (t *Target) Address() string { return strings.TrimPrefix(t.server.URL, "http://") }

// Close stops the target and closes its connections.
func (t *Target) Close() {
	t.server.CloseClientConnections()
	t.server.Close()
}

// SetMode sets how requests are handled from now on.
func (t *Target) SetMode(mode Mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = mode
}

// SetStartedAtMillis sets the start of the process that the target registers, in Unix milliseconds.
func (t *Target) SetStartedAtMillis(millis int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startedAtMillis = millis
}

// SetColdLeft sets the rest of the cold start that the target states in its responses to health checks.
func (t *Target) SetColdLeft(left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldLeft = left
}

// Restart closes all connections to the target, as a restart at the same address does.
func (t *Target) Restart() { t.server.CloseClientConnections() }

// HealthChecks returns the number of health checks that have arrived.
func (t *Target) HealthChecks() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checks
}

// CrashOn makes the target's process end when the target begins to run a request for which crashes returns true: it closes
// all connections without a response and refuses new ones.
func (t *Target) CrashOn(crashes func(*http.Request) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashOn = crashes
}

// SetWork sets how long the target works on each request from now on.
func (t *Target) SetWork(work time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work = work
}

// AnnounceStop makes all responses from now on state that the target is about to stop.
func (t *Target) AnnounceStop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// HoldNoKeys makes the target one of a service without keys: it takes commands for requests, and rejects those without an
// attempt ID.
func (t *Target) HoldNoKeys() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keyless = true
}

// Arrivals returns the number of requests that have arrived, including rejected ones.
func (t *Target) Arrivals() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.arrivals
}

// Runs returns how many times the request with an attempt ID has run.
func (t *Target) Runs(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// Registration returns the record with which the target registers itself. slots is the number of requests that it runs
// at the same time.
func (t *Target) Registration(service, zone string, slots int, state string, seq int) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","max-concurrency":%d,"state":%q,`+
		`"warmup-left":"0ms","seq":%d,"born":%d}`, service, t.Address(), zone, slots, state, seq, t.startedAt())
}

func (t *Target) startedAt() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.startedAtMillis
}

func (t *Target) serve(w http.ResponseWriter, request *http.Request) {
	if t.rejectsCommand(request) {
		w.Header().Set("X-Tarragonpoint-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if wanted := request.Header.Get("X-Tarragonpoint-Target-Instance"); wanted != "" && wanted != t.ID {
		if id := request.Header.Get("X-Tarragonpoint-Attempt-Id"); id != "" {
			w.Header().Set("X-Tarragonpoint-Attempt-Id", id)
		}
		w.Header().Set("X-Tarragonpoint-Not-Executed", "1")
		w.Header().Set("X-Tarragonpoint-Instance-Id", t.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mu.Lock()
	if t.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	t.mu.Unlock()
	switch path := request.URL.Path; {
	case (path == "/grant" || path == "/release") && !t.hasNoKeys():
		t.command(w, request)
	case path == "/health":
		t.health(w)
	default:
		t.request(w, request)
	}
}

func (t *Target) hasNoKeys() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keyless
}

// rejectsCommand reports whether a request is a command that the target takes for a request without an attempt ID.
func (t *Target) rejectsCommand(request *http.Request) bool {
	isCommand := request.URL.Path == "/grant" || request.URL.Path == "/release"
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keyless && isCommand && request.Header.Get("X-Tarragonpoint-Attempt-Id") == ""
}

func (t *Target) health(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checks++
	w.Header().Set("X-Tarragonpoint-Instance-Id", t.ID)
	if t.coldLeft > 0 {
		w.Header().Set("X-Tarragonpoint-Warmup-Ms", strconv.FormatInt(t.coldLeft.Milliseconds(), 10))
	}
	if t.mode == Shed {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) command(w http.ResponseWriter, request *http.Request) {
	var body struct {
		From  int    `json:"from"`
		To    int    `json:"target"`
		Fence uint64 `json:"fence"`
		Hold  string `json:"hold_time"`
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	overlaps := func(h heldRange) bool { return h.from <= body.To && body.From <= h.to }
	if request.URL.Path == "/grant" {
		for _, held := range t.holds {
			if overlaps(held) && held.fence > body.Fence {
				w.WriteHeader(http.StatusConflict)
				return
			}
		}
		hold, err := time.ParseDuration(body.Hold)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		t.holds = append(t.holds, heldRange{from: body.From, to: body.To, fence: body.Fence, until: time.Now().Add(hold)})
		return
	}
	for i := range t.holds {
		if overlaps(t.holds[i]) {
			t.holds[i].until = time.Time{}
		}
	}
	t.holds = append(t.holds, heldRange{from: body.From, to: body.To, fence: body.Fence})
	w.Header().Set("X-Tarragonpoint-Handover", "handover-"+strconv.FormatUint(body.Fence, 10))
}

// Holds reports whether the target currently holds a key.
func (t *Target) Holds(key int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, held := range t.holds {
		if held.from <= key && key <= held.to && time.Now().Before(held.until) {
			return true
		}
	}
	return false
}

func (t *Target) request(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("X-Tarragonpoint-Attempt-Id")
	t.mu.Lock()
	t.arrivals++
	t.mu.Unlock()
	if key, err := strconv.Atoi(request.Header.Get("X-Tarragonpoint-Shard-Key")); err == nil && !t.Holds(key) {
		w.Header().Set("X-Tarragonpoint-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mu.Lock()
	mode := t.mode
	if mode != Shed && mode != Pause && mode != Hang {
		t.runs[id]++
	}
	crashes := t.crashOn != nil && t.crashOn(request)
	t.mu.Unlock()
	if crashes {
		t.crash()
	}
	t.respond(w, request, mode, id, len(body))
}

// Ended reports whether the target's process has crashed.
func (t *Target) Ended() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended
}

// crash ends the target's process during a request.
func (t *Target) crash() {
	t.mu.Lock()
	t.ended = true
	t.mu.Unlock()
	// The listener may be closed already by another request that crashes the target.
	_ = t.server.Listener.Close()
	// CloseClientConnections waits for this request too.
	go t.server.CloseClientConnections()
	panic(http.ErrAbortHandler)
}

func (t *Target) respond(w http.ResponseWriter, request *http.Request, mode Mode, id string, length int) {
	header := w.Header()
	header.Set("X-Tarragonpoint-Attempt-Id", id)
	header.Set("X-Tarragonpoint-Instance-Load", "1,0,4,100")
	switch mode {
	case Pause:
		header.Set("Retry-After", strconv.Itoa(PauseSeconds))
		fallthrough
	case Shed:
		header.Set("X-Tarragonpoint-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Hang:
		<-request.Context().Done()
		return
	case Drop:
		panic(http.ErrAbortHandler)
	case WrongAttemptID:
		header.Set("X-Tarragonpoint-Attempt-Id", "another")
	}
	t.mu.Lock()
	work := t.work
	t.mu.Unlock()
	select {
	case <-time.After(work):
	case <-request.Context().Done():
		return
	}
	if mode != Unsealed {
		header.Set("X-Tarragonpoint-Server-Seal", "seal-"+t.ID)
	}
	if mode == Fail {
		w.WriteHeader(http.StatusInternalServerError)
	}
	fmt.Fprintf(w, "%s %s %d bytes from %s", request.Method, request.RequestURI, length, t.ID)
}
