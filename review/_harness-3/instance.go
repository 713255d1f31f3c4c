package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// server is a stand-in for an instance, as PROTOCOL.md describes it. It writes events to its standard output.
type server struct {
	id, service, zone, address, store string
	slots, queue                      int
	work, cold                        time.Duration
	keyed                             bool
	born                              time.Time

	mu       sync.Mutex
	seq      int
	running  int
	waiting  int
	draining bool
	free     chan struct{}
	// fences and until are the highest fence and the end of the hold of each key, and working the number of requests at work on it.
	fences  [keys]uint64
	until   [keys]time.Time
	working [keys]int
	// lateShare is the share of grants that get no answer and are applied late.
	lateShare float64
}

// keys is the number of keys of a service.
const keys = 65536

func runInstance(args []string) {
	s := &server{born: time.Now()}
	flags := flag.NewFlagSet("instance", flag.ExitOnError)
	flags.StringVar(&s.id, "id", "", "")
	flags.StringVar(&s.service, "service", "desk", "")
	flags.StringVar(&s.zone, "zone", "seacoast-a", "")
	flags.StringVar(&s.address, "listen", "", "")
	flags.StringVar(&s.store, "store", "", "")
	flags.IntVar(&s.slots, "slots", 4, "")
	flags.IntVar(&s.queue, "queue", 16, "")
	flags.DurationVar(&s.work, "work", 50*time.Millisecond, "")
	flags.DurationVar(&s.cold, "cold", 0, "")
	flags.BoolVar(&s.keyed, "keyed", false, "")
	flags.Float64Var(&s.lateShare, "late", 0, "")
	_ = flags.Parse(args)
	s.free = make(chan struct{}, s.slots)
	listener, err := net.Listen("tcp4", s.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	s.say(event{Event: "up", Text: s.address})
	go s.register()
	web := &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	_ = web.Serve(listener)
}

var output sync.Mutex

func (s *server) say(e event) {
	e.At = time.Now().UnixMicro()
	line, _ := json.Marshal(e)
	output.Lock()
	defer output.Unlock()
	_, _ = os.Stdout.Write(append(line, '\n'))
}

func (s *server) coldLeft() time.Duration { return max(0, s.cold-time.Since(s.born)) }

// register writes the instance's entry to the store at every heartbeat.
func (s *server) register() {
	for {
		s.mu.Lock()
		s.seq++
		state := "ready"
		if s.draining {
			state = "draining"
		}
		value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","max-concurrency":%d,"state":%q,"warmup-left":"%dms","seq":%d,"born":%d}`,
			s.service, s.address, s.zone, s.slots, state, s.coldLeft().Milliseconds(), s.seq, s.born.UnixMilli())
		s.mu.Unlock()
		body, _ := json.Marshal(standin.StorePut{Topic: "keyed.servers", Records: []standin.Record{{Key: s.id, Value: []byte(value)}}})
		if response, err := http.Post(s.store+standin.PutPath, "application/json", bytes.NewReader(body)); err == nil {
			_ = response.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.slots)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("X-Tarragonpoint-Instance-Load", s.load())
	header.Set("Keep-Alive", "timeout=10")
	id := r.Header.Get("X-Tarragonpoint-Attempt-Id")
	if id != "" {
		header.Set("X-Tarragonpoint-Attempt-Id", id)
	}
	if wanted := r.Header.Get("X-Tarragonpoint-Target-Instance"); wanted != "" && wanted != s.id {
		header.Set("X-Tarragonpoint-Instance-Id", s.id)
		s.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/health":
		header.Set("X-Tarragonpoint-Instance-Id", s.id)
		header.Set("X-Tarragonpoint-Warmup-Ms", strconv.FormatInt(s.coldLeft().Milliseconds(), 10))
		w.WriteHeader(http.StatusOK)
	case s.keyed && (r.URL.Path == "/grant" || r.URL.Path == "/release"):
		s.command(w, r)
	case id == "":
		s.refuse(w, http.StatusBadRequest)
	default:
		s.serve(w, r, id)
	}
}

func (s *server) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Tarragonpoint-Not-Executed", "1")
	w.WriteHeader(status)
}

// serve runs one request, or rejects it.
func (s *server) serve(w http.ResponseWriter, r *http.Request, id string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	caller := r.Header.Get("X-Caller")
	s.say(event{Event: "arrive", ID: id, Path: r.RequestURI, Caller: caller, Text: fmt.Sprintf("cold for %d ms", s.coldLeft().Milliseconds())})
	if !s.enqueue() {
		s.refuse(w, http.StatusServiceUnavailable)
		return
	}
	deadline := time.Second
	if millis, err := strconv.Atoi(r.Header.Get("X-Tarragonpoint-Deadline-Ms")); err == nil {
		deadline = time.Duration(millis) * time.Millisecond
	}
	timer := time.NewTimer(deadline)
	defer timer.Stop()
	select {
	case s.free <- struct{}{}:
	case <-timer.C:
		s.leaveQueue()
		s.refuse(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		s.leaveQueue()
		return
	}
	defer func() { <-s.free }()
	key := -1
	if s.keyed {
		var err error
		if key, err = strconv.Atoi(r.Header.Get("X-Tarragonpoint-Shard-Key")); err != nil {
			key = 0
		}
	}
	s.begin()
	defer s.end()
	if !s.beginKey(key) {
		s.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	defer s.endKey(key)
	s.say(event{Event: "begin", ID: id, Path: r.RequestURI, Caller: caller, Key: key})
	if strings.Contains(r.Header.Get("Cookie"), "draft=broken") {
		// This request crashes each instance that begins to run it, after it has used up the instance's memory for the time that it states.
		if wait, err := strconv.Atoi(r.URL.Query().Get("exhausts-ms")); err == nil {
			time.Sleep(time.Duration(wait) * time.Millisecond)
		}
		s.say(event{Event: "crash", ID: id, Path: r.RequestURI, Caller: caller})
		os.Exit(3)
	}
	select {
	case <-time.After(s.work):
	case <-timer.C:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		s.say(event{Event: "cut", ID: id, Path: r.RequestURI, Caller: caller})
		return
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	answer := bytes.Repeat([]byte("x"), max(size, 64))
	w.Header().Set("X-Tarragonpoint-Server-Seal", fmt.Sprintf("3e1b.07.5a2.%d.0.c9f2a4d1", len(answer)))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
	s.say(event{Event: "end", ID: id, Path: r.RequestURI, Caller: caller, Text: fmt.Sprintf("%d bytes received", len(body))})
}

func (s *server) enqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running+s.waiting >= s.slots+s.queue {
		return false
	}
	s.waiting++
	return true
}

func (s *server) leaveQueue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

func (s *server) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	s.running++
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// command executes a grant or a release.
func (s *server) command(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var body rangeCommand
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.From < 0 || body.To >= keys {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/release" {
		s.release(w, body)
		return
	}
	length, err := time.ParseDuration(body.Hold)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if rand.Float64() < s.lateShare {
		time.Sleep(time.Duration(2000+rand.IntN(4000)) * time.Millisecond)
		s.grant(body, arrived.Add(length))
		panic(http.ErrAbortHandler)
	}
	if !s.grant(body, arrived.Add(length)) {
		w.WriteHeader(http.StatusConflict)
	}
}

// rangeCommand is the body of a grant or a release.
type rangeCommand struct {
	From  int    `json:"from"`
	To    int    `json:"target"`
	Fence uint64 `json:"fence"`
	Hold  string `json:"hold_time"`
}

// grant takes the keys until a time, unless a higher fence was seen on one of them.
func (s *server) grant(body rangeCommand, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := body.From; key <= body.To; key++ {
		if s.fences[key] > body.Fence {
			return false
		}
	}
	for key := body.From; key <= body.To; key++ {
		s.fences[key], s.until[key] = body.Fence, until
	}
	s.say(event{Event: "grant", Keys: &keyEvent{From: body.From, To: body.To, Fence: body.Fence, Until: until.UnixMicro()}})
	return true
}

// release stops work on the keys, and responds once the work at hand has ended.
func (s *server) release(w http.ResponseWriter, body rangeCommand) {
	s.mu.Lock()
	for key := body.From; key <= body.To; key++ {
		s.fences[key], s.until[key] = max(s.fences[key], body.Fence), time.Time{}
	}
	s.say(event{Event: "release", Keys: &keyEvent{From: body.From, To: body.To, Fence: body.Fence}})
	s.mu.Unlock()
	for s.isWorking(body) {
		time.Sleep(5 * time.Millisecond)
	}
	w.Header().Set("X-Tarragonpoint-Handover", strconv.FormatUint(body.Fence, 16))
}

func (s *server) isWorking(body rangeCommand) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := body.From; key <= body.To; key++ {
		if s.working[key] > 0 {
			return true
		}
	}
	return false
}

// beginKey begins work on a key if the instance holds it. key is -1 for a service without keys.
func (s *server) beginKey(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key < 0 {
		return true
	}
	if !time.Now().Before(s.until[key]) {
		return false
	}
	s.working[key]++
	return true
}

func (s *server) endKey(key int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key >= 0 {
		s.working[key]--
	}
}
