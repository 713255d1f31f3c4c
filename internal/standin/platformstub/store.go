// Package platformstub holds stand-ins of the users' platform for tests: its store and its targets, by their published
// protocol. They run in the process of the test and are never shipped.
package platformstub

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Record is a record of a keyed topic.
type Record struct {
	Key   string
	Value []byte
}

// Fault is how the store treats calls.
type Fault uint8

// Faults of the store.
const (
	// Healthy answers all calls.
	Healthy Fault = iota
	// Busy answers 503.
	Busy
	// Silent accepts calls and answers none.
	Silent
	// LoseAnswers carries out appends and does not answer them.
	LoseAnswers
)

// Store is the stand-in of the platform's store.
type Store struct {
	server *httptest.Server

	mu      sync.Mutex
	topics  map[string][]Record
	first   map[string]uint64
	changed chan struct{}
	fault   Fault
	members []string
	calls   map[string]int
}

// NewStore starts a store on the loopback interface. Close ends it.
func NewStore() *Store {
	s := &Store{
		topics: map[string][]Record{}, first: map[string]uint64{}, changed: make(chan struct{}), calls: map[string]int{},
	}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Address returns IP:port.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close ends the store and its connections.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFault sets how calls are treated from now on.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Calls returns the number of calls of a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put appends a record as an operator or a target does.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, Record{Key: key, Value: value})
}

// Forget drops the history of a topic; the newest record of each key stays.
func (s *Store) Forget(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first[topic] = uint64(len(s.topics[topic]))
}

// End returns the offset after the last record of a topic.
func (s *Store) End(topic string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return uint64(len(s.topics[topic]))
}

func (s *Store) add(topic string, record Record) {
	s.topics[topic] = append(s.topics[topic], record)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serve(w http.ResponseWriter, request *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.calls[request.URL.Path]++
	s.mu.Unlock()
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		<-request.Context().Done()
		return
	}
	switch request.URL.Path {
	case "/log-append":
		s.append(w, request, fault)
	case "/log-read":
		s.read(w, request)
	case "/log-newest":
		s.newest(w, request)
	case "/log-join":
		s.join(w, request)
	case "/log-leave":
		s.leave(w, request)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) append(w http.ResponseWriter, request *http.Request, fault Fault) {
	raw, err := io.ReadAll(request.Body)
	if err != nil || len(raw) < 5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	topic := request.URL.Query().Get("topic")
	s.mu.Lock()
	end := len(s.topics[topic])
	asOf := request.URL.Query().Get("as-of")
	conflict := asOf != "" && asOf != strconv.Itoa(end)
	if !conflict {
		length := int(raw[4])
		s.add(topic, Record{Key: string(raw[5 : 5+length]), Value: raw[5+length:]})
	}
	s.mu.Unlock()
	if fault == LoseAnswers {
		<-request.Context().Done()
		return
	}
	if conflict {
		w.WriteHeader(http.StatusPreconditionFailed)
		answer(w, map[string]any{"end": end})
		return
	}
	answer(w, map[string]any{"offset": end, "end": end + 1})
}

func (s *Store) read(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	topic := query.Get("topic")
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, first, changed := s.topics[topic], s.first[topic], s.changed
		s.mu.Unlock()
		if from < first {
			w.WriteHeader(http.StatusGone)
			answer(w, map[string]any{"first": first})
			return
		}
		if uint64(len(records)) > from || wait == 0 {
			writePage(w, records, first, min(from, uint64(len(records))))
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-request.Context().Done():
			return
		}
	}
}

func writePage(w http.ResponseWriter, records []Record, first, from uint64) {
	page := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	page = binary.BigEndian.AppendUint64(page, first)
	for _, record := range records[from:] {
		page = binary.BigEndian.AppendUint32(page, uint32(1+len(record.Key)+len(record.Value)))
		page = append(page, byte(len(record.Key)))
		page = append(page, record.Key...)
		page = append(page, record.Value...)
	}
	_, _ = w.Write(page)
}

func (s *Store) newest(w http.ResponseWriter, request *http.Request) {
	topic := request.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]int{}
	for offset, record := range s.topics[topic] {
		newest[record.Key] = offset
	}
	items := []map[string]any{}
	for offset, record := range s.topics[topic] {
		if newest[record.Key] == offset && len(record.Value) > 0 {
			items = append(items, map[string]any{
				"key": record.Key, "value": base64.StdEncoding.EncodeToString(record.Value), "offset": offset,
			})
		}
	}
	answer(w, map[string]any{"items": items, "has-more": false, "end": len(s.topics[topic])})
}

// join gives all partitions to the member that has been in the group longest.
func (s *Store) join(w http.ResponseWriter, request *http.Request) {
	var body struct {
		Member string   `json:"member"`
		Topics []string `json:"topics"`
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil || len(body.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !contains(s.members, body.Member) {
		s.members = append(s.members, body.Member)
	}
	parts := [][]any{}
	if s.members[0] == body.Member {
		parts = append(parts, []any{body.Topics[0], 0, 0})
	}
	answer(w, map[string]any{"generation": len(s.members), "parts": parts})
}

func (s *Store) leave(w http.ResponseWriter, request *http.Request) {
	var body struct {
		Member string `json:"member"`
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, member := range s.members {
		if member == body.Member {
			s.members = append(s.members[:i], s.members[i+1:]...)
			break
		}
	}
	answer(w, map[string]any{})
}

func contains(members []string, member string) bool {
	for _, known := range members {
		if known == member {
			return true
		}
	}
	return false
}

func answer(w http.ResponseWriter, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = w.Write(raw)
}
