package standin

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// maxRequestBytes limits the body of a request to a target, in bytes.
const maxRequestBytes = 64 << 20

// attempt is a queued or running request.
type attempt struct {
	id, slot, fence, keyHash, term string
	requestID                      string
	// notAfter is the latest start time on the target's clock; 0 means no limit.
	notAfter model.Instant
	// run is nil until the request starts.
	run *Run
	// started is closed when the attempt leaves the queue; refused, set before that, is the reason if it does not run.
	// canceled is closed when the attempt is canceled.
	started, canceled chan struct{}
	refused           target.RefusalReason
}

var refusalStatus = map[target.RefusalReason]int{
	target.RefusedNotOwner: http.StatusConflict,
	target.RefusedTerm:     http.StatusConflict,
	target.RefusedShed:     http.StatusTooManyRequests,
	target.RefusedDraining: http.StatusServiceUnavailable,
	target.RefusedDeadline: http.StatusGone,
}

// serve handles one request of a caller: it refuses it, or simulates the work and responds. With the query parameter
// crash=1, the target crashes when the request starts.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	t.waitWhileFrozen(r)
	t.setHeaders(w, r)
	current, crashed, reason := t.admit(r)
	if reason == "" {
		reason = t.awaitStart(current, crashed, r)
	}
	if reason != "" {
		t.refuse(w, r, reason)
		return
	}
	if r.URL.Query().Get("crash") == "1" {
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	outcome := t.simulateWork(current, crashed, r)
	t.complete(current, crashed, outcome)
	t.waitWhileFrozen(r)
	if outcome == RunCrashed || isClosed(crashed) {
		panic(http.ErrAbortHandler)
	}
	t.respond(w, r, body, outcome)
}

// admit starts or queues a request, or returns the reason for refusing it. The channel is closed when the incarnation
// ends.
func (t *Target) admit(r *http.Request) (*attempt, chan struct{}, target.RefusalReason) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current, wellFormed := t.parse(r.Header)
	if !wellFormed {
		return nil, nil, target.RefusedDeadline
	}
	if reason := t.check(current); reason != "" {
		return nil, nil, reason
	}
	if t.shed || (t.running >= t.options.Concurrency && len(t.queue) >= t.options.Queue) {
		return nil, nil, target.RefusedShed
	}
	t.attempts[current] = struct{}{}
	if t.running < t.options.Concurrency {
		t.start(current)
	} else {
		t.queue = append(t.queue, current)
	}
	return current, t.crashed, ""
}

// parse reads the protocol headers. It returns false if the deadline is malformed. The caller holds the mutex.
func (t *Target) parse(header http.Header) (*attempt, bool) {
	current := &attempt{
		id:        header.Get(target.HeaderAttempt),
		slot:      header.Get(target.HeaderSlot),
		fence:     header.Get(target.HeaderFence),
		keyHash:   header.Get(target.HeaderKeyHash),
		term:      header.Get(target.HeaderTerm),
		requestID: header.Get(RequestIDHeader),
		started:   make(chan struct{}),
		canceled:  make(chan struct{}),
	}
	if text := header.Get(target.HeaderNotAfter); text != "" {
		nanos, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, false
		}
		current.notAfter = model.Instant(nanos)
	}
	if text := header.Get(target.HeaderDeadline); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis <= 0 {
			return nil, false
		}
		limit := t.now().Add(time.Duration(millis) * time.Millisecond)
		if current.notAfter == 0 || limit < current.notAfter {
			current.notAfter = limit
		}
	}
	return current, true
}

// check returns the reason why a request may not start now, or "". The caller holds the mutex.
func (t *Target) check(current *attempt) target.RefusalReason {
	if current.notAfter != 0 && t.now() > current.notAfter {
		return target.RefusedDeadline
	}
	if t.drain && t.now().Sub(t.drainSince) >= t.options.DrainGrace {
		return target.RefusedDraining
	}
	if t.options.Unchecked {
		return ""
	}
	if current.term != "" {
		term, ok := parseTerm(current.term)
		if !ok || term.Less(t.lease.term) {
			return target.RefusedTerm
		}
	}
	if current.slot != "" && !t.lease.owns(current.slot, current.fence, current.keyHash, t.now()) {
		return target.RefusedNotOwner
	}
	return ""
}

// start begins a run. The caller holds the mutex.
func (t *Target) start(current *attempt) {
	t.running++
	if t.running > t.concurrencyLimit() {
		t.overloads++
	}
	current.run = &Run{
		RequestID:   current.requestID,
		Attempt:     current.id,
		Slot:        current.slot,
		Fence:       current.fence,
		Term:        current.term,
		Incarnation: t.incarnation,
		Start:       t.now(),
		Outcome:     RunOpen,
	}
	t.runs = append(t.runs, current.run)
	t.writeJournal(current.run)
	close(current.started)
}

// awaitStart waits until the request starts and returns "", or the reason why it does not start.
func (t *Target) awaitStart(current *attempt, crashed chan struct{}, r *http.Request) target.RefusalReason {
	timeout := t.newQueueTimer(current)
	defer timeout.Stop()
	select {
	case <-current.started:
		return current.refused
	case <-crashed:
		panic(http.ErrAbortHandler)
	case <-timeout.C:
	case <-current.canceled:
	case <-r.Context().Done():
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if position := slices.Index(t.queue, current); position >= 0 {
		t.queue = slices.Delete(t.queue, position, position+1)
		delete(t.attempts, current)
		return target.RefusedDeadline
	}
	return current.refused
}

// newQueueTimer returns a timer that fires when the request may no longer start, or after one hour if it has no
// deadline.
func (t *Target) newQueueTimer(current *attempt) *time.Timer {
	if current.notAfter == 0 {
		return time.NewTimer(time.Hour)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return time.NewTimer(current.notAfter.Sub(t.now()))
}

// simulateWork waits for the duration of the request and returns how the run ended.
func (t *Target) simulateWork(current *attempt, crashed chan struct{}, r *http.Request) Outcome {
	duration := t.options.ServiceTime
	if millis, err := strconv.Atoi(r.URL.Query().Get("work_ms")); err == nil {
		duration = time.Duration(millis) * time.Millisecond
	}
	t.mutex.Lock()
	duration += t.stall
	t.mutex.Unlock()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return RunDone
	case <-current.canceled:
		return RunCanceled
	case <-crashed:
		return RunCrashed
	}
}

// complete ends a run and starts queued requests. It checks each of them again, because its slot may have been revoked
// while it waited.
func (t *Target) complete(current *attempt, crashed chan struct{}, outcome Outcome) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if isClosed(crashed) {
		return
	}
	t.recordEnd(current.run, outcome)
	delete(t.attempts, current)
	t.running--
	for t.running < t.options.Concurrency && len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		if next.refused = t.check(next); next.refused == "" {
			t.start(next)
			continue
		}
		delete(t.attempts, next)
		close(next.started)
	}
}

func (t *Target) recordEnd(run *Run, outcome Outcome) {
	run.End, run.Outcome = t.now(), outcome
	t.writeJournal(run)
}

// writeJournal writes a run to the journal. The caller holds the mutex, so that the run is in the journal before its
// response is sent.
func (t *Target) writeJournal(run *Run) {
	if t.options.Journal != nil {
		t.options.Journal(*run)
	}
}

func (t *Target) cancel(w http.ResponseWriter, r *http.Request) {
	var request target.CancelRequest
	if !readJSON(w, r, &request) {
		return
	}
	t.mutex.Lock()
	for current := range t.attempts {
		if current.id == request.Attempt && !isClosed(current.canceled) {
			close(current.canceled)
		}
	}
	t.mutex.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
