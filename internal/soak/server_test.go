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
	// slots is the number of requests that a server runs at a time, and queue how many more it takes.
	slots = 4
	queue = 8
	// workTime is how long a request runs.
	workTime = 30 * time.Millisecond
	// reportEvery is the time between two registrations of a server.
	reportEvery = 400 * time.Millisecond
)

// server is one target. Its fields from up on are guarded by the ledger's mutex.
type server struct {
	ledger  *ledger
	store   *standin.Store
	id      string
	service string
	zone    string
	relay   *standin.Relay
	listen  string

	up       bool
	draining bool
	http     *http.Server
	born     int64
	seq      int
	holds    []*hold
	running  int
	// ranges of running keyed requests, for releases.
	keys map[int]int
	// failEvery and loseEvery make each n-th request fail, or run without an answer.
	failEvery, loseEvery int
	count                int
	// busyUntil is the end of a disturbance of the connections to this server.
	busyUntil time.Time
}

// hold is a range of keys that the server holds until a time, or gave up under a fence.
type hold struct {
	from, to int
	fence    uint64
	until    time.Time
	// excused holds were granted by a call that was held up on its way.
	excused bool
}

func newServer(l *ledger, store *standin.Store, id, service, zone string) (*server, error) {
	address, err := addresses.Free()
	if err != nil {
		return nil, err
	}
	s := &server{ledger: l, store: store, id: id, service: service, zone: zone, listen: address}
	if s.relay, err = standin.NewRelay(s.listen); err != nil {
		return nil, err
	}
	l.servers = append(l.servers, s)
	return s, s.start()
}

// start begins a new life of the server, which holds and knows nothing of the one before.
func (s *server) start() error {
	// A process that is being forked holds every listener of this one until it has executed its program, also those that
	// were closed meanwhile.
	var listener net.Listener
	var err error
	if !assertEventually(startTime, func() bool {
		listener, err = net.Listen("tcp4", s.listen)
		return err == nil
	}) {
		return err
	}
	s.ledger.mu.Lock()
	s.up, s.draining, s.holds, s.running, s.keys, s.seq = true, false, nil, 0, map[int]int{}, 0
	s.born = max(time.Now().UnixMilli(), s.born+1)
	s.http = &http.Server{Handler: s.handler(s.born)}
	serving := s.http
	s.ledger.mu.Unlock()
	go func() { _ = serving.Serve(listener) }()
	s.report()
	return nil
}

// crash ends the server at once.
func (s *server) crash() {
	s.ledger.mu.Lock()
	serving := s.http
	s.up = false
	s.ledger.mu.Unlock()
	_ = serving.Close()
	s.relay.CloseConnections()
}

func (s *server) isUp() bool {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	return s.up
}

// report registers the server.
func (s *server) report() {
	s.ledger.mu.Lock()
	s.seq++
	state := standin.StateReady
	if s.draining {
		state = standin.StateDraining
	}
	put, err := standin.Registration{
		VM: model.VMID(s.id), Service: model.Service(s.service), Address: s.relay.Address, Zone: model.Zone(s.zone),
		State: state, Slots: slots, Seq: s.seq, StartedAtMillis: s.born,
	}.Register()
	up := s.up
	s.ledger.mu.Unlock()
	if err == nil && up {
		s.store.Put(put)
	}
}

// leave ends a drained server and its registration.
func (s *server) leave() {
	s.crash()
	s.store.Put(standin.Unregister(model.VMID(s.id)))
}

func (s *server) setDraining() {
	s.ledger.mu.Lock()
	s.draining = true
	s.ledger.mu.Unlock()
	s.report()
}

// disturb excuses grants that arrive during a disturbance of the connections and shortly after it.
func (s *server) disturb(length time.Duration) {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	s.busyUntil = time.Now().Add(length + time.Second)
}

// heldNow returns the range that holds a key now, or nil. The ledger's mutex is held.
func (s *server) heldNow(key int) *hold {
	now := time.Now()
	for _, h := range s.holds {
		if h.from <= key && key <= h.to && now.Before(h.until) {
			return h
		}
	}
	return nil
}

func (s *server) handler(born int64) http.Handler {
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
			s.grant(w, body, born)
		case "/release":
			s.release(w, body, born)
		default:
			s.serve(w, r, body, born)
		}
	})
}

type order struct {
	From  int    `json:"from"`
	To    int    `json:"target"`
	Fence uint64 `json:"fence"`
	Hold  string `json:"hold_time"`
}

func (o order) overlaps(h *hold) bool { return h.from <= o.To && o.From <= h.to }

// current reports whether the life with the given birth is the present one. The ledger's mutex is held.
func (s *server) current(born int64) bool { return s.up && s.born == born }

func (s *server) grant(w http.ResponseWriter, body []byte, born int64) {
	var o order
	length, err := time.Duration(0), json.Unmarshal(body, &o)
	if err == nil {
		length, err = time.ParseDuration(o.Hold)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l := s.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if !s.current(born) {
		panic(http.ErrAbortHandler)
	}
	for _, h := range s.holds {
		if o.overlaps(h) && h.fence > o.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	now := time.Now()
	s.drop(o)
	s.holds = append(s.holds, &hold{
		from: o.From, to: o.To, fence: o.Fence, until: now.Add(length),
		excused: now.Before(s.busyUntil) || now.Sub(l.thawedAt) < thawExcuse,
	})
}

// drop removes holds that a newer one covers. Parts of wider ones stay as they are: their fence is not above the newer
// one's. The ledger's mutex is held.
func (s *server) drop(o order) {
	kept := s.holds[:0]
	for _, h := range s.holds {
		if h.from < o.From || h.to > o.To {
			kept = append(kept, h)
		}
	}
	s.holds = kept
}

func (s *server) release(w http.ResponseWriter, body []byte, born int64) {
	var o order
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l := s.ledger
	l.mu.Lock()
	s.cutHolds(o)
	for s.current(born) && s.worksOn(o) {
		l.mu.Unlock()
		time.Sleep(workTime / 10)
		l.mu.Lock()
	}
	defer l.mu.Unlock()
	if !s.current(born) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Tarragonpoint-Handover", fmt.Sprintf("%s-%d", s.id, o.Fence))
}

// cutHolds ends the holds of the released keys and remembers the fence. The ledger's mutex is held.
func (s *server) cutHolds(o order) {
	var cut []*hold
	for _, h := range s.holds {
		if !o.overlaps(h) {
			cut = append(cut, h)
			continue
		}
		if h.from < o.From {
			left := *h
			left.to = o.From - 1
			cut = append(cut, &left)
		}
		if h.to > o.To {
			right := *h
			right.from = o.To + 1
			cut = append(cut, &right)
		}
		o.Fence = max(o.Fence, h.fence)
	}
	s.holds = append(cut, &hold{from: o.From, to: o.To, fence: o.Fence})
}

// worksOn reports whether a request for one of the keys runs. The ledger's mutex is held.
func (s *server) worksOn(o order) bool {
	for key, count := range s.keys {
		if count > 0 && o.From <= key && key <= o.To {
			return true
		}
	}
	return false
}

// serve runs one request.
func (s *server) serve(w http.ResponseWriter, r *http.Request, body []byte, born int64) {
	id := r.Header.Get("X-Tarragonpoint-Attempt-Id")
	key := -1
	if s.service == keyedService {
		var err error
		if key, err = strconv.Atoi(r.Header.Get("X-Tarragonpoint-Shard-Key")); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	fails, loses, ok := s.enter(w, id, key, born)
	if !ok {
		return
	}
	time.Sleep(workTime)
	if !s.exit(key, born) || loses {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	header.Set("X-Tarragonpoint-Attempt-Id", id)
	header.Set("X-Tarragonpoint-Server-Seal", "seal-"+id)
	header.Set("X-Tarragonpoint-Instance-Load", "1,0,4,100")
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
	}
	// A caller that has left cannot be told.
	_, _ = fmt.Fprintf(w, "%s %s %d", id, r.RequestURI, len(body))
}

// enter admits a request or refuses it as not run.
func (s *server) enter(w http.ResponseWriter, id string, key int, born int64) (fails, loses, ok bool) {
	l := s.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if !s.current(born) {
		panic(http.ErrAbortHandler)
	}
	refusal := 0
	switch {
	case key >= 0 && s.heldNow(key) == nil:
		refusal = http.StatusMisdirectedRequest
	case s.running >= slots+queue:
		refusal = http.StatusServiceUnavailable
	}
	if refusal != 0 {
		w.Header().Set("X-Tarragonpoint-Attempt-Id", id)
		w.Header().Set("X-Tarragonpoint-Not-Executed", "1")
		w.WriteHeader(refusal)
		return false, false, false
	}
	l.begin(s, id, key)
	s.running++
	if key >= 0 {
		s.keys[key]++
	}
	s.count++
	return s.failEvery > 0 && s.count%s.failEvery == 0, s.loseEvery > 0 && s.count%s.loseEvery == 0, true
}

// exit ends a run. It returns false if the server has crashed meanwhile.
func (s *server) exit(key int, born int64) bool {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	if !s.current(born) {
		return false
	}
	s.running--
	if key >= 0 {
		s.keys[key]--
	}
	return true
}
