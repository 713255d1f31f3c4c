package standin

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Paths of the control requests.
const (
	ControlPath = "/control"
	PutPath     = "/control/put"
	TotalsPath  = "/control/totals"
	RestorePath = "/control/restore"
)

// eraHeader is the header in which all responses state the era.
const eraHeader = "Store-Era"

// StoreMode determines how the store handles requests.
type StoreMode string

// Modes of the store.
const (
	StoreUp StoreMode = "up"
	// StoreDown responds with status 503.
	StoreDown StoreMode = "down"
	// StoreSlow delays every response.
	StoreSlow StoreMode = "slow"
	// StoreUnresponsive accepts requests and sends no response.
	StoreUnresponsive StoreMode = "silent"
)

// StoreFault is the body of POST /control. It replaces the previous fault of the same topic.
type StoreFault struct {
	Mode        StoreMode `json:"mode"`
	DelayMillis int64     `json:"delay_ms"`
	// LoseNextResponses is the number of following appends that take effect and get no response.
	LoseNextResponses int `json:"lose_next_answers"`
	// Topic restricts the fault to one topic; empty means all topics.
	Topic string `json:"topic"`
}

// StoreTotals is the response to GET /control/totals.
type StoreTotals struct {
	Appends       uint64            `json:"appends"`
	Reads         uint64            `json:"reads"`
	LostResponses uint64            `json:"lost_answers"`
	Refused       uint64            `json:"refused"`
	End           map[string]uint64 `json:"end"`
}

// StorePut is the body of POST /control/put. It appends records to a keyed topic as the platform does, including topics
// that the router is not allowed to write to.
type StorePut struct {
	Topic   string   `json:"topic"`
	Records []Record `json:"records"`
}

// StoreOptions configures a store. In KeepRecords and KeepAge, 0 means unlimited retention.
type StoreOptions struct {
	KeepRecords int
	KeepAge     time.Duration
	// Lag is the delay before readers see the records of a StorePut.
	Lag time.Duration
	// Now replaces the clock in tests.
	Now func() time.Time
	// Era is the era in which the store starts. In era 0, until its first restoration, it sends no header of the era.
	Era uint64
}

// StoreRestore is the body of POST /control/restore. The store loses the records of the last AgeMillis and starts a new era.
type StoreRestore struct {
	AgeMillis int64 `json:"age_ms"`
}

// Store is a stand-in for the platform's store. It has logs whose offsets start at 0, keyed topics that keep the newest
// record of each key, and consumer groups. Each topic has one partition.
type Store struct {
	options StoreOptions
	mux     *http.ServeMux
	mutex   sync.Mutex
	topics  map[string]*topic
	// delayed holds the puts that are not visible to readers yet, in order of time.
	delayed []delayedPut
	faults  map[string]*StoreFault
	groups  map[string]*group
	calls   map[callKey]int
	totals  StoreTotals
	// era increases with each restoration. Responses are written with and without the mutex, so it is read without.
	era atomic.Uint64
	// changed is closed and replaced when a record is appended or a fault is set, to wake long polls.
	changed chan struct{}
}

// callKey identifies a counter of requests.
type callKey struct{ path, topic string }

type delayedPut struct {
	at  time.Time
	put StorePut
}

// NewStore returns an empty store.
func NewStore(options StoreOptions) *Store {
	if options.Now == nil {
		options.Now = time.Now
	}
	s := &Store{
		options: options, mux: http.NewServeMux(), topics: map[string]*topic{}, faults: map[string]*StoreFault{},
		groups: map[string]*group{}, calls: map[callKey]int{}, changed: make(chan struct{}),
	}
	s.era.Store(options.Era)
	s.mux.HandleFunc("POST /log-append", s.append)
	s.mux.HandleFunc("GET /log-read", s.read)
	s.mux.HandleFunc("GET /log-newest", s.newest)
	s.mux.HandleFunc("POST /log-join", s.join)
	s.mux.HandleFunc("POST /log-leave", s.leave)
	s.mux.HandleFunc("POST "+ControlPath, s.control)
	s.mux.HandleFunc("POST "+PutPath, s.controlPut)
	s.mux.HandleFunc("POST "+RestorePath, s.controlRestore)
	s.mux.HandleFunc("GET "+TotalsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Totals()) })
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.calls[callKey{path: r.URL.Path, topic: r.URL.Query().Get("topic")}]++
	s.mutex.Unlock()
	s.mux.ServeHTTP(&eraWriter{ResponseWriter: w, store: s}, r)
}

// eraWriter adds the era to the header of a response when the response starts. A read that has waited since before a restoration
// responds with the era after it.
type eraWriter struct {
	http.ResponseWriter
	store   *Store
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	if era := w.store.Era(); era > 0 && !w.started {
		w.Header().Set(eraHeader, strconv.FormatUint(era, 10))
	}
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(data []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// SetFault replaces the fault of the same topic and wakes long polls.
func (s *Store) SetFault(fault StoreFault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults[fault.Topic] = &fault
	s.notifyReaders()
}

// Era returns the present era.
func (s *Store) Era() uint64 { return s.era.Load() }

// Restore replaces the state by a copy of the given age and starts a new era: the records since then are lost, their offsets are
// issued again, and all groups are empty. A topic does not go back to before its first retained record.
func (s *Store) Restore(age time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	limit := s.options.Now().Add(-age)
	for _, t := range s.topics {
		t.restore(limit)
	}
	s.delayed = nil
	s.groups = map[string]*group{}
	s.era.Add(1)
	s.notifyReaders()
}

// Put appends records to a keyed topic. Readers see them after StoreOptions.Lag.
func (s *Store) Put(put StorePut) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delayed = append(s.delayed, delayedPut{at: s.options.Now().Add(s.options.Lag), put: put})
	s.applyDelayedPuts()
}

// DropHistory removes all records of a topic from its log; the newest record of each key stays in the listing.
func (s *Store) DropHistory(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	t.dropOldest(len(t.records))
}

// End returns the offset after the last record of a topic.
func (s *Store) End(name string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.topic(name).end()
}

// Calls returns the number of requests to a path, summed over all topics.
func (s *Store) Calls(path string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for key, times := range s.calls {
		if key.path == path {
			count += times
		}
	}
	return count
}

// TopicCalls returns the number of requests to a path whose query contains the topic.
func (s *Store) TopicCalls(path, topic string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[callKey{path: path, topic: topic}]
}

// Totals returns the counters and the end offset of each topic.
func (s *Store) Totals() StoreTotals {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	totals := s.totals
	totals.End = map[string]uint64{}
	for name, t := range s.topics {
		totals.End[name] = t.end()
	}
	return totals
}

func (s *Store) control(w http.ResponseWriter, r *http.Request) {
	fault := StoreFault{Mode: StoreUp}
	if readJSON(w, r, &fault) {
		s.SetFault(fault)
		writeJSON(w, http.StatusOK, fault)
	}
}

func (s *Store) controlRestore(w http.ResponseWriter, r *http.Request) {
	var restore StoreRestore
	if readJSON(w, r, &restore) {
		s.Restore(time.Duration(restore.AgeMillis) * time.Millisecond)
		writeJSON(w, http.StatusOK, restore)
	}
}

func (s *Store) controlPut(w http.ResponseWriter, r *http.Request) {
	var put StorePut
	if readJSON(w, r, &put) {
		s.Put(put)
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

// admit applies the current faults and reports whether the request is to be processed. If not, the response has been
// sent, or the caller has disconnected.
func (s *Store) admit(w http.ResponseWriter, r *http.Request, name string) bool {
	mode, delay := s.faultFor(name)
	switch mode {
	case StoreDown:
		http.Error(w, "store is down", http.StatusServiceUnavailable)
		return false
	case StoreUnresponsive:
		<-r.Context().Done()
		return false
	}
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// faultFor returns the mode that applies to a request for a topic, and the delay of its response.
func (s *Store) faultFor(name string) (StoreMode, time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	mode, delay := StoreUp, time.Duration(0)
	for _, scope := range []string{"", name} {
		fault := s.faults[scope]
		if fault == nil {
			continue
		}
		switch fault.Mode {
		case StoreDown, StoreUnresponsive:
			mode = fault.Mode
		case StoreSlow:
			delay = max(delay, time.Duration(fault.DelayMillis)*time.Millisecond)
		}
	}
	if mode == StoreDown {
		s.totals.Refused++
	}
	return mode, delay
}

// takeLostResponse reports whether the response to an append is to be lost, and counts it against LoseNextResponses.
// The caller holds the mutex.
func (s *Store) takeLostResponse(name string) bool {
	for _, scope := range []string{"", name} {
		if fault := s.faults[scope]; fault != nil && fault.LoseNextResponses > 0 {
			fault.LoseNextResponses--
			s.totals.LostResponses++
			return true
		}
	}
	return false
}

// topic returns a topic, creating it on first use, after applying due puts and the retention. The caller holds
// the mutex.
func (s *Store) topic(name string) *topic {
	s.applyDelayedPuts()
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]storedRecord{}}
		s.topics[name] = t
	}
	t.expire(s.options)
	return t
}

// applyDelayedPuts appends the records of puts whose lag has passed. The caller holds the mutex.
func (s *Store) applyDelayedPuts() {
	now := s.options.Now()
	for len(s.delayed) > 0 && !s.delayed[0].at.After(now) {
		put := s.delayed[0].put
		s.delayed = s.delayed[1:]
		for _, record := range put.Records {
			s.topic(put.Topic).add(now, record.encode())
		}
		s.notifyReaders()
	}
}

// notifyReaders wakes all long polls. The caller holds the mutex.
func (s *Store) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}
