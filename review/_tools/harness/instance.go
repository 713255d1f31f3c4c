package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that reached an instance.
type arrival struct {
	at   time.Time
	id   string
	sent time.Time
	ran  bool
}

// instance is a sound server instance: it queues, holds keys by fence and lease, and reports itself to the store.
type instance struct {
	w             *world
	id, service   string
	zone, address string
	slots, queue  int
	sharded       bool
	work          time.Duration

	mu        sync.Mutex
	server    *http.Server
	born      int64
	seq       int
	state     string
	coldUntil time.Time
	up        bool
	slow      float64
	running   int
	waiting   int
	holds     []lease
	keys      map[int]int
	// leases are the leases that were in force when a release came.
	leases    []lease
	arrivals  []arrival
	slotFree  chan struct{}
	stopBeats context.CancelFunc
}

type lease struct {
	from, to int
	fence    uint64
	until    time.Time
}

const beat = 870 * time.Millisecond

func (w *world) addInstance(id, service, zone string, work time.Duration) *instance {
	i := &instance{w: w, id: id, service: service, zone: zone, slots: 4, queue: 16, work: work, state: "ready", slow: 1, keys: map[int]int{}}
	w.instances = append(w.instances, i)
	return i
}

// start starts an incarnation that holds no keys.
func (i *instance) start(cold time.Duration) error {
	if i.address == "" {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		i.address = address
	}
	listener, err := net.Listen("tcp4", i.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.mu.Lock()
	i.born, i.seq, i.holds, i.up, i.running, i.waiting = time.Now().UnixMilli(), 0, nil, true, 0, 0
	i.coldUntil = time.Time{}
	if cold > 0 {
		i.coldUntil = time.Now().Add(cold)
	}
	i.slotFree = make(chan struct{}, i.slots)
	i.stopBeats = cancel
	i.server = &http.Server{Handler: http.HandlerFunc(i.serve), IdleTimeout: 10 * time.Second}
	server := i.server
	i.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go i.reportPeriodically(ctx)
	return nil
}

// stop ends the process of the instance: all its connections close.
func (i *instance) stop() {
	i.mu.Lock()
	server, cancel := i.server, i.stopBeats
	i.up = false
	i.mu.Unlock()
	if server != nil {
		cancel()
		_ = server.Close()
	}
}

func (i *instance) reportPeriodically(ctx context.Context) {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	i.report()
	for {
		select {
		case <-ticker.C:
			i.report()
		case <-ctx.Done():
			return
		}
	}
}

// statusReport returns the next status report.
func (i *instance) statusReport() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.seq++
	cold := max(0, time.Until(i.coldUntil).Milliseconds())
	raw, _ := json.Marshal(map[string]any{
		"service": i.service, "address": i.address, "zone": i.zone, "version": "v1", "max-concurrency": i.slots, "state": i.state,
		"warmup-left": strconv.FormatInt(cold, 10) + "ms", "seq": i.seq, "born": i.born,
	})
	return string(raw)
}

func (i *instance) report() {
	report := i.statusReport()
	i.mu.Lock()
	skip := !i.up
	i.mu.Unlock()
	if skip {
		return
	}
	i.w.put("keyed.servers", i.id, report)
}

// awaitReport waits for the next status report.
func (i *instance) awaitReport() {
	i.mu.Lock()
	seq := i.seq
	i.mu.Unlock()
	waitUntil(2*beat, func() bool {
		i.mu.Lock()
		defer i.mu.Unlock()
		return i.seq > seq
	})
}

func (i *instance) setState(state string) {
	i.mu.Lock()
	i.state = state
	i.mu.Unlock()
	i.report()
}

func (i *instance) setSlow(factor float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.slow = factor
}

func (i *instance) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if wanted := r.Header.Get("X-Tarragonpoint-Target-Instance"); wanted != "" && wanted != i.id {
		w.Header().Set("X-Tarragonpoint-Instance-Id", i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/grant":
		i.grant(w, body)
	case "/release":
		i.release(w, body)
	case "/health":
		w.Header().Set("X-Tarragonpoint-Instance-Id", i.id)
	default:
		i.run(w, r, body)
	}
}

type order struct {
	From  int    `json:"from"`
	To    int    `json:"target"`
	Fence uint64 `json:"fence"`
	Hold  string `json:"hold_time"`
}

func (i *instance) grant(w http.ResponseWriter, body []byte) {
	var o order
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	hold, err := time.ParseDuration(o.Hold)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, l := range i.holds {
		if l.from <= o.To && o.From <= l.to && l.fence > o.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	i.holds = append(i.cut(o), lease{from: o.From, to: o.To, fence: o.Fence, until: time.Now().Add(hold)})
	i.w.add("%s is granted %d..%d with fence %d for %s", i.id, o.From, o.To, o.Fence, hold)
	go i.w.checkGrant(i, o, time.Now())
}

// cut returns the leases without the keys of an order.
func (i *instance) cut(o order) []lease {
	var kept []lease
	for _, l := range i.holds {
		if l.from > o.To || o.From > l.to {
			kept = append(kept, l)
			continue
		}
		if l.from < o.From {
			left := l
			left.to = o.From - 1
			kept = append(kept, left)
		}
		if l.to > o.To {
			right := l
			right.from = o.To + 1
			kept = append(kept, right)
		}
	}
	return kept
}

func (i *instance) release(w http.ResponseWriter, body []byte) {
	var o order
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.mu.Lock()
	i.leases = append(i.leases, i.holds...)
	i.holds = append(i.cut(o), lease{from: o.From, to: o.To, fence: o.Fence})
	i.w.add("%s gets a release of %d..%d with fence %d; it works on these keys: %v", i.id, o.From, o.To, o.Fence, i.worksOn(o))
	for i.worksOn(o) {
		i.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		i.mu.Lock()
	}
	i.mu.Unlock()
	w.Header().Set("X-Tarragonpoint-Handover", fmt.Sprintf("%s-%d", i.id, o.Fence))
}

// checkGrant records that an instance was given keys on which another is still at work before its hold has run out.
func (w *world) checkGrant(to *instance, o order, at time.Time) {
	for _, other := range w.instances {
		if other == to {
			continue
		}
		other.mu.Lock()
		for _, l := range append(append([]lease(nil), other.leases...), other.holds...) {
			part := order{From: max(o.From, l.from), To: min(o.To, l.to)}
			if part.From <= part.To && at.Before(l.until) && other.worksOn(part) && other.up {
				w.mu.Lock()
				w.violations = append(w.violations, fmt.Sprintf(
					"%s is given keys %d..%d while %s is still at work on some of them, %.3f s before its hold has run out",
					to.id, part.From, part.To, other.id, l.until.Sub(at).Seconds()))
				w.mu.Unlock()
				break
			}
		}
		other.mu.Unlock()
	}
}

// sharedKeys returns what checkGrant has found.
func (w *world) sharedKeys() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

func (i *instance) worksOn(o order) bool {
	for key, count := range i.keys {
		if count > 0 && o.From <= key && key <= o.To {
			return true
		}
	}
	return false
}

func (i *instance) holdsKey(key int) bool {
	for _, l := range i.holds {
		if l.from <= key && key <= l.to && time.Now().Before(l.until) {
			return true
		}
	}
	return false
}

func (i *instance) reject(w http.ResponseWriter, id string, status int) {
	w.Header().Set("X-Tarragonpoint-Attempt-Id", id)
	w.Header().Set("X-Tarragonpoint-Not-Executed", "1")
	w.WriteHeader(status)
}

// run queues and runs a request.
func (i *instance) run(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get("X-Tarragonpoint-Attempt-Id")
	key := -1
	if i.sharded {
		var err error
		if key, err = strconv.Atoi(r.Header.Get("X-Tarragonpoint-Shard-Key")); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	millis, _ := strconv.Atoi(r.Header.Get("X-Tarragonpoint-Deadline-Ms"))
	deadline := time.Now().Add(time.Duration(millis) * time.Millisecond)
	sent, _ := strconv.ParseInt(r.Header.Get("X-Review-Sent"), 10, 64)
	i.mu.Lock()
	index := len(i.arrivals)
	i.arrivals = append(i.arrivals, arrival{at: time.Now(), id: id, sent: time.Unix(0, sent)})
	if i.overrun() {
		i.mu.Unlock()
		i.w.add("%s crashes: it is cold and got more than %d requests in one second", i.id, coldCrash)
		i.stop()
		return
	}
	if key >= 0 && !i.holdsKey(key) {
		i.mu.Unlock()
		i.reject(w, id, http.StatusMisdirectedRequest)
		return
	}
	if i.waiting >= i.queue {
		i.mu.Unlock()
		i.reject(w, id, http.StatusServiceUnavailable)
		return
	}
	i.waiting++
	slots := i.slotFree
	i.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case slots <- struct{}{}:
	case <-timer.C:
		i.mu.Lock()
		i.waiting--
		i.mu.Unlock()
		i.reject(w, id, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		i.mu.Lock()
		i.waiting--
		i.mu.Unlock()
		return
	}
	i.mu.Lock()
	i.waiting--
	i.running++
	if key >= 0 {
		i.keys[key]++
	}
	i.arrivals[index].ran = true
	work := time.Duration(float64(i.work) * i.slow)
	i.mu.Unlock()
	i.w.add("%s runs %s", i.id, id)
	status := http.StatusOK
	if left := time.Until(deadline); work > left {
		work, status = max(0, left), http.StatusGatewayTimeout
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		status = 0
	}
	i.mu.Lock()
	i.running--
	if key >= 0 {
		i.keys[key]--
	}
	load := fmt.Sprintf("%d,%d,%d,100", i.running, i.waiting, i.slots)
	i.mu.Unlock()
	<-slots
	if status == 0 {
		return
	}
	w.Header().Set("X-Tarragonpoint-Attempt-Id", id)
	w.Header().Set("X-Tarragonpoint-Server-Seal", "seal-"+id)
	w.Header().Set("X-Tarragonpoint-Instance-Load", load)
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "%s %s %d", id, r.RequestURI, len(body))
}

// coldCrash is the number of requests in one second above which a cold instance crashes: well above warmup-per-s (5.3), and
// above what the rules allow (12.95).
const coldCrash = 16

// overrun reports whether the instance is cold and got more requests in the last second than it stands.
func (i *instance) overrun() bool {
	now := time.Now()
	if !i.up || !now.Before(i.coldUntil) {
		return false
	}
	count := 0
	for n := len(i.arrivals) - 1; n >= 0 && now.Sub(i.arrivals[n].at) < time.Second; n-- {
		count++
	}
	return count > coldCrash
}

// arrived returns the requests that have reached the instance.
func (i *instance) arrived() []arrival {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]arrival(nil), i.arrivals...)
}
