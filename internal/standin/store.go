package standin

import (
	"net/http"
	"sync"
	"time"
)

// Paths of the control calls.
const (
	ControlPath = "/control"
	PutPath     = "/control/put"
	TotalsPath  = "/control/totals"
)

// StoreMode is how the store treats calls.
type StoreMode string

// Modes of the store.
const (
	StoreUp StoreMode = "up"
	// StoreDown answers 503.
	StoreDown StoreMode = "down"
	// StoreSlow delays every answer.
	StoreSlow StoreMode = "slow"
	// StoreUnresponsive accepts calls and answers none.
	StoreUnresponsive StoreMode = "silent"
)

// StoreFault is the body of POST /control. It replaces the fault of the same topic.
type StoreFault struct {
	Mode        StoreMode `json:"mode"`
	DelayMillis int64     `json:"delay_ms"`
	// LoseNextResponses is the number of appends that take effect and get no answer.
	LoseNextResponses int `json:"lose_next_answers"`
	// Topic limits the fault; empty means all topics.
	Topic string `json:"topic"`
}

// StoreTotals is the answer of GET /control/totals.
type StoreTotals struct {
	Appends       uint64            `json:"appends"`
	Reads         uint64            `json:"reads"`
	LostResponses uint64            `json:"lost_answers"`
	Refused       uint64            `json:"refused"`
	End           map[string]uint64 `json:"end"`
}

// StorePut is the body of POST /control/put. It appends records to a keyed topic as the platform does, also to topics
// that the router may not write to.
type StorePut struct {
	Topic   string   `json:"topic"`
	Records []Record `json:"records"`
}

// StoreOptions set the retention. 0 means unlimited.
type StoreOptions struct {
	KeepRecords int
	KeepAge     time.Duration
	// Lag is the time after which readers see records of StorePut.
	Lag time.Duration
	// Now replaces the clock in tests.
	Now func() time.Time
}

// Store is the platform's store: logs with offsets from 0, topics with a newest record of each key, and groups. Each
// topic has one partition.
type Store struct {
	options StoreOptions
	mux     *http.ServeMux
	mutex   sync.Mutex
	topics  map[string]*topic
	// delayed holds what StorePut appends after the lag.
	delayed []delayedPut
	faults  map[string]*StoreFault
	groups  map[string]*group
	calls   map[call]int
	totals  StoreTotals
	// changed is closed and replaced when a record or a fault arrives.
	changed chan struct{}
}

// call tells calls apart that are counted.
type call struct{ path, topic string }

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
		groups: map[string]*group{}, calls: map[call]int{}, changed: make(chan struct{}),
	}
	s.mux.HandleFunc("POST /log-append", s.append)
	s.mux.HandleFunc("GET /log-read", s.read)
	s.mux.HandleFunc("GET /log-newest", s.newest)
	s.mux.HandleFunc("POST /log-join", s.join)
	s.mux.HandleFunc("POST /log-leave", s.leave)
	s.mux.HandleFunc("POST "+ControlPath, s.control)
	s.mux.HandleFunc("POST "+PutPath, s.controlPut)
	s.mux.HandleFunc("GET "+TotalsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Totals()) })
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.calls[call{path: r.URL.Path, topic: r.URL.Query().Get("topic")}]++
	s.mutex.Unlock()
	s.mux.ServeHTTP(w, r)
}

// SetFault replaces the fault of the same topic.
func (s *Store) SetFault(fault StoreFault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults[fault.Topic] = &fault
	s.wake()
}

// Put appends records to a keyed topic. Readers see them after the lag.
func (s *Store) Put(put StorePut) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delayed = append(s.delayed, delayedPut{at: s.options.Now().Add(s.options.Lag), put: put})
	s.deliver()
}

// DropHistory drops the history of a topic; the newest record of each key stays.
func (s *Store) DropHistory(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	t.drop(len(t.kept))
}

// End returns the offset after the last record of a topic.
func (s *Store) End(name string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.topic(name).end()
}

// Calls returns the number of calls of a path, of all topics together.
func (s *Store) Calls(path string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for made, times := range s.calls {
		if made.path == path {
			count += times
		}
	}
	return count
}

// TopicCalls returns the number of calls of a path that concern one topic.
func (s *Store) TopicCalls(path, topic string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[call{path: path, topic: topic}]
}

// Totals returns the counters.
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

func (s *Store) controlPut(w http.ResponseWriter, r *http.Request) {
	var put StorePut
	if readJSON(w, r, &put) {
		s.Put(put)
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

// admit applies the faults that are in force and reports whether the call goes on.
func (s *Store) admit(w http.ResponseWriter, r *http.Request, name string) bool {
	mode, delay := s.faultOf(name)
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

// faultOf returns the mode in which a call of a topic is treated, and the delay of its answer.
func (s *Store) faultOf(name string) (StoreMode, time.Duration) {
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

// loses reports whether the answer of an append is to be lost. The mutex is held.
func (s *Store) loses(name string) bool {
	for _, scope := range []string{"", name} {
		if fault := s.faults[scope]; fault != nil && fault.LoseNextResponses > 0 {
			fault.LoseNextResponses--
			s.totals.LostResponses++
			return true
		}
	}
	return false
}

// topic returns a topic that exists from its first use on. The mutex is held.
func (s *Store) topic(name string) *topic {
	s.deliver()
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]storedRecord{}}
		s.topics[name] = t
	}
	t.expire(s.options)
	return t
}

// deliver appends what StorePut delayed and is due. The mutex is held.
func (s *Store) deliver() {
	now := s.options.Now()
	for len(s.delayed) > 0 && !s.delayed[0].at.After(now) {
		put := s.delayed[0].put
		s.delayed = s.delayed[1:]
		for _, record := range put.Records {
			s.topic(put.Topic).add(now, record.encode())
		}
		s.wake()
	}
}

// wake ends the waiting of readers. The mutex is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
