package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

const (
	// slots is the number of requests that a server is registered to run concurrently, and queue how many more it accepts.
	slots = 4
	queue = 8
	// workTime is how long a request runs.
	workTime = 30 * time.Millisecond
	// reportInterval is the time between two registrations of a server.
	reportInterval = 400 * time.Millisecond
)

// server is a target. The oracle's mutex guards the field up and all fields after it.
type server struct {
	oracle  *oracle
	store   *standin.Store
	id      string
	service string
	zone    string
	relay   *standin.Relay
	listen  string

	up       bool
	draining bool
	http     *http.Server
	// incarnation is the start time as Unix time in ms. It increases with every restart.
	incarnation int64
	seq         int
	holds       []*hold
	running     int
	// keys counts the running requests of each key. A release waits for those of its keys.
	keys map[int]int
	// failEvery and dropResponseEvery make every n-th request fail, or run without a response. 0 means none.
	failEvery, dropResponseEvery int
	count                        int
	// leaving is true once the server announces its stop in its responses.
	leaving bool
	// repeats makes rejections and responses to releases arrive twice, pauses makes rejections ask for a pause, and omitsIDs
	// leaves the attempt ID out of them.
	repeats, pauses, omitsIDs bool
	// endless is the text that the server sends without end in place of each response; nil if it responds.
	endless []byte
	// disturbedUntil is the time until which grants and requests may be delayed by a disturbance of the connections to this server.
	disturbedUntil time.Time
}

// hold is a range of keys that the server holds until a time. A released range is a hold with the fence of the release
// and a zero time.
type hold struct {
	from, to int
	fence    uint64
	until    time.Time
	// exempt holds are not checked for exclusive ownership, because their grants may have been delayed on the network or
	// by a pause of the VM.
	exempt bool
}

func newServer(o *oracle, store *standin.Store, id, service, zone string) (*server, error) {
	address, err := addresses.Free()
	if err != nil {
		return nil, err
	}
	s := &server{oracle: o, store: store, id: id, service: service, zone: zone, listen: address}
	if s.relay, err = standin.NewRelay(s.listen); err != nil {
		return nil, err
	}
	o.servers = append(o.servers, s)
	return s, s.start()
}

// start starts a new incarnation of the server, without the holds and the state of the former one.
func (s *server) start() error {
	// Between fork and exec, a child process holds copies of all listeners of this process, even of closed ones, so
	// that the address can still be in use for a moment.
	var listener net.Listener
	var err error
	if !waitUntil(startTimeout, func() bool {
		listener, err = net.Listen("tcp4", s.listen)
		return err == nil
	}) {
		return err
	}
	s.oracle.mu.Lock()
	s.up, s.draining, s.leaving, s.holds, s.running, s.keys, s.seq = true, false, false, nil, 0, map[int]int{}, 0
	s.incarnation = max(time.Now().UnixMilli(), s.incarnation+1)
	s.http = &http.Server{Handler: s.handler(s.incarnation)}
	serving := s.http
	s.oracle.mu.Unlock()
	go func() { _ = serving.Serve(repeatingListener{Listener: listener, server: s}) }()
	s.report()
	return nil
}

// crash stops the server immediately and closes all its connections.
func (s *server) crash() {
	s.oracle.mu.Lock()
	serving := s.http
	s.up = false
	s.oracle.mu.Unlock()
	_ = serving.Close()
	s.relay.CloseConnections()
}

func (s *server) isUp() bool {
	s.oracle.mu.Lock()
	defer s.oracle.mu.Unlock()
	return s.up
}

// report registers the server with its current state.
func (s *server) report() {
	s.oracle.mu.Lock()
	s.seq++
	state := standin.StateReady
	if s.draining {
		state = standin.StateDraining
	}
	put, err := standin.Registration{
		VM: model.VMID(s.id), Service: model.Service(s.service), Address: s.relay.Address, Zone: model.Zone(s.zone),
		State: state, Slots: slots, Seq: s.seq, StartedAtMillis: s.incarnation,
	}.Register()
	up := s.up
	s.oracle.mu.Unlock()
	if err == nil && up {
		s.store.Put(put)
	}
}

// stopAndUnregister stops a drained server and removes its registration.
func (s *server) stopAndUnregister() {
	s.crash()
	s.store.Put(standin.Unregister(model.VMID(s.id)))
}

func (s *server) setDraining() {
	s.oracle.mu.Lock()
	s.draining = true
	s.oracle.mu.Unlock()
	s.report()
}

// exemptHoldsFor exempts the holds of grants that arrive during a disturbance of the connections of the given length,
// or within 1 s after it.
func (s *server) exemptHoldsFor(length time.Duration) {
	s.oracle.mu.Lock()
	defer s.oracle.mu.Unlock()
	s.disturbedUntil = time.Now().Add(length + time.Second)
}

// holdOf returns the hold that covers a key now, or nil. The caller holds the oracle's mutex.
func (s *server) holdOf(key int) *hold {
	now := time.Now()
	for _, h := range s.holds {
		if h.from <= key && key <= h.to && now.Before(h.until) {
			return h
		}
	}
	return nil
}

func (s *server) handler(incarnation int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if wanted := r.Header.Get("X-Tarragonpoint-Target-Instance"); wanted != "" && wanted != s.id {
			w.Header().Set("X-Tarragonpoint-Instance-Id", s.id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		switch r.URL.Path {
		case "/grant":
			s.grant(w, body, incarnation)
		case "/release":
			s.release(w, body, incarnation)
		case "/health":
			s.health(w, incarnation)
		default:
			s.serve(w, r, body, incarnation)
		}
	})
}

// health responds to a health check, which is no request of a caller.
func (s *server) health(w http.ResponseWriter, incarnation int64) {
	s.oracle.mu.Lock()
	defer s.oracle.mu.Unlock()
	if !s.isCurrent(incarnation) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Tarragonpoint-Instance-Id", s.id)
	if s.draining || s.leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// command is the body of a grant or release of a range of keys.
type command struct {
	From  int    `json:"from"`
	To    int    `json:"target"`
	Fence uint64 `json:"fence"`
	Hold  string `json:"hold_time"`
}

func (c command) overlaps(h *hold) bool { return h.from <= c.To && c.From <= h.to }

// isCurrent reports whether the server is up and the given incarnation is its current one. The caller holds the
// oracle's mutex.
func (s *server) isCurrent(incarnation int64) bool { return s.up && s.incarnation == incarnation }

func (s *server) grant(w http.ResponseWriter, body []byte, incarnation int64) {
	var c command
	length, err := time.Duration(0), json.Unmarshal(body, &c)
	if err == nil {
		length, err = time.ParseDuration(c.Hold)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o := s.oracle
	o.mu.Lock()
	defer o.mu.Unlock()
	if !s.isCurrent(incarnation) {
		panic(http.ErrAbortHandler)
	}
	for _, h := range s.holds {
		if c.overlaps(h) && h.fence > c.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	now := time.Now()
	s.removeCovered(c)
	s.holds = append(s.holds, &hold{
		from: c.From, to: c.To, fence: c.Fence, until: now.Add(length),
		exempt: now.Before(s.disturbedUntil) || now.Sub(o.resumedAt) < resumeExemption,
	})
}

// removeCovered removes the holds that a newer one covers completely. Holds that it covers partly stay unchanged, since
// their fence does not exceed that of the newer hold. The caller holds the oracle's mutex.
func (s *server) removeCovered(c command) {
	kept := s.holds[:0]
	for _, h := range s.holds {
		if h.from < c.From || h.to > c.To {
			kept = append(kept, h)
		}
	}
	s.holds = kept
}

func (s *server) release(w http.ResponseWriter, body []byte, incarnation int64) {
	var c command
	if json.Unmarshal(body, &c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o := s.oracle
	o.mu.Lock()
	s.releaseHolds(c)
	for s.isCurrent(incarnation) && s.hasRunningRequest(c) {
		o.mu.Unlock()
		time.Sleep(workTime / 10)
		o.mu.Lock()
	}
	defer o.mu.Unlock()
	if !s.isCurrent(incarnation) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Tarragonpoint-Handover", fmt.Sprintf("%s-%d", s.id, c.Fence))
}

// releaseHolds ends the holds of the released keys, keeps the rest of partly covered holds, and records the fence. The
// caller holds the oracle's mutex.
func (s *server) releaseHolds(c command) {
	var kept []*hold
	for _, h := range s.holds {
		if !c.overlaps(h) {
			kept = append(kept, h)
			continue
		}
		if h.from < c.From {
			left := *h
			left.to = c.From - 1
			kept = append(kept, &left)
		}
		if h.to > c.To {
			right := *h
			right.from = c.To + 1
			kept = append(kept, &right)
		}
		c.Fence = max(c.Fence, h.fence)
	}
	s.holds = append(kept, &hold{from: c.From, to: c.To, fence: c.Fence})
}

// hasRunningRequest reports whether a request for one of the keys of a command is running. The caller holds the
// oracle's mutex.
func (s *server) hasRunningRequest(c command) bool {
	for key, count := range s.keys {
		if count > 0 && c.From <= key && key <= c.To {
			return true
		}
	}
	return false
}

// serve runs a request for workTime, and responds unless the response is to be dropped.
func (s *server) serve(w http.ResponseWriter, r *http.Request, body []byte, incarnation int64) {
	id := r.Header.Get("X-Tarragonpoint-Attempt-Id")
	key := -1
	if s.service == keyedService {
		var err error
		if key, err = strconv.Atoi(r.Header.Get("X-Tarragonpoint-Shard-Key")); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	fails, dropsResponse, ok := s.admit(w, id, key, incarnation)
	if !ok {
		return
	}
	time.Sleep(workTime)
	if !s.finish(key, incarnation) || dropsResponse {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	header.Set("X-Tarragonpoint-Attempt-Id", id)
	header.Set("X-Tarragonpoint-Server-Seal", "seal-"+id)
	header.Set("X-Tarragonpoint-Instance-Load", "1,0,4,100")
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
	}
	// A write error means that the caller has closed the connection; nobody is left to report it to.
	_, _ = fmt.Fprintf(w, "%s %s %d", id, r.RequestURI, len(body))
}

// admit admits a request, or rejects it with the header that marks it as not executed. It also returns whether the
// request fails and whether its response is dropped.
func (s *server) admit(w http.ResponseWriter, id string, key int, incarnation int64) (fails, dropsResponse, ok bool) {
	o := s.oracle
	o.mu.Lock()
	defer o.mu.Unlock()
	if !s.isCurrent(incarnation) {
		panic(http.ErrAbortHandler)
	}
	if s.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	o.checkArrival(s, id)
	rejectStatus := 0
	switch {
	case key >= 0 && s.holdOf(key) == nil:
		rejectStatus = http.StatusMisdirectedRequest
	case s.running >= slots+queue || s.pauses && s.running >= slots/2:
		rejectStatus = http.StatusServiceUnavailable
	}
	if rejectStatus == http.StatusServiceUnavailable && s.pauses {
		s.askForPause(w, id)
	}
	if rejectStatus != 0 {
		if !s.omitsIDs {
			w.Header().Set("X-Tarragonpoint-Attempt-Id", id)
		}
		w.Header().Set("X-Tarragonpoint-Not-Executed", "1")
		w.WriteHeader(rejectStatus)
		return false, false, false
	}
	o.recordRun(s, id, key)
	s.running++
	if key >= 0 {
		s.keys[key]++
	}
	s.count++
	return s.failEvery > 0 && s.count%s.failEvery == 0, s.dropResponseEvery > 0 && s.count%s.dropResponseEvery == 0, true
}

// finish records the end of a run. It returns false if the server has crashed since the start of the run.
func (s *server) finish(key int, incarnation int64) bool {
	s.oracle.mu.Lock()
	defer s.oracle.mu.Unlock()
	if !s.isCurrent(incarnation) {
		return false
	}
	s.running--
	if key >= 0 {
		s.keys[key]--
	}
	return true
}
