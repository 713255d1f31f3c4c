package soak

import (
	"fmt"
	"sync"
	"time"
)

const (
	// resumeExemption is the time after a paused VM resumes in which grants that it decided on before the pause may still
	// arrive. Holds from grants in this time are exempt from the ownership check.
	resumeExemption = 300 * time.Millisecond
	// departureGrace is the time after the departure of a caller in which its request may still reach a server.
	departureGrace = 500 * time.Millisecond
	// maxLateRuns is the number of requests that may start later than that. A VM can be paused after its last check.
	maxLateRuns = 3
	// maxViolations bounds the recorded violations, because one fault can cause many.
	maxViolations = 20
)

// oracle records the requests that servers ran and the responses that callers received, and checks them for violations
// of the router's guarantees. It shares no code with the router.
type oracle struct {
	mu      sync.Mutex
	servers []*server
	// runs maps the ID of each request to the IDs of the servers that ran it.
	runs       map[string][]string
	requests   map[string]*requestRecord
	violations []string
	// resumedAt is when the last paused VM was resumed.
	resumedAt time.Time
	// lateRuns lists the requests that reached a server later than departureGrace after the departure of their callers.
	lateRuns []string
	// announced holds when a VM first passed on that a server announces its stop, and pauses what servers asked VMs for.
	announced map[pair]time.Time
	pauses    map[pair]*pause
	// vmFaultAt is when a VM was last restarted or paused.
	vmFaultAt map[string]time.Time
	// served counts the responses with status 200 for each kind of request.
	served map[string]int
}

// requestRecord is a request of a caller and its result.
type requestRecord struct {
	kind string
	// vm is the VM to which the caller sent the request, at sentAt.
	vm     string
	sentAt time.Time
	status int
	// leftAt is when the connection of the caller was known to be closed; zero while it may be open.
	leftAt time.Time
}

func newOracle() *oracle {
	return &oracle{runs: map[string][]string{}, requests: map[string]*requestRecord{}, served: map[string]int{}, announced: map[pair]time.Time{},
		pauses: map[pair]*pause{}, vmFaultAt: map[string]time.Time{}}
}

// addViolation records a violated guarantee. The format begins with the label of the guarantee, such as OWNER. The
// caller holds the mutex.
func (o *oracle) addViolation(format string, args ...any) {
	if len(o.violations) < maxViolations {
		o.violations = append(o.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// recordRun records that a server starts to run a request, and checks that it may: no other server that is up may hold
// the key of the request. The caller holds the mutex.
func (o *oracle) recordRun(by *server, id string, key int) {
	o.runs[id] = append(o.runs[id], by.id)
	request := o.requests[id]
	if request == nil {
		o.addViolation("UNASKED: %s runs request %s, which no caller sent", by.id, id)
		return
	}
	if request.kind != safe && len(o.runs[id]) > 1 {
		o.addViolation("TWICE: %s request %s runs at %v", request.kind, id, o.runs[id])
	}
	now := time.Now()
	if !request.leftAt.IsZero() && now.Sub(request.leftAt) > departureGrace && now.After(by.disturbedUntil) {
		o.lateRuns = append(o.lateRuns, fmt.Sprintf("%s %s after %v", request.kind, id, now.Sub(request.leftAt)))
	}
	if key < 0 {
		return
	}
	for _, other := range o.servers {
		if other == by || !other.up || other.service != by.service {
			continue
		}
		if held := other.holdOf(key); held != nil && !held.exempt {
			o.addViolation("OWNER: %s runs a request for key %d, which %s holds under fence %d", by.id, key, other.id, held.fence)
		}
	}
}

// recordRequest records that a caller sends a request to a VM.
func (o *oracle) recordRequest(id, kind, vm string) *requestRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	request := &requestRecord{kind: kind, vm: vm, sentAt: time.Now()}
	o.requests[id] = request
	return request
}

// recordDeparture records that a caller closed its connection, or lost it, without a complete response.
func (o *oracle) recordDeparture(request *requestRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	request.leftAt = time.Now()
}

// recordResponse records the complete response to a request.
func (o *oracle) recordResponse(request *requestRecord, status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	request.status = status
	if status == 200 {
		o.served[request.kind]++
	}
}

// check checks the guarantees that can only be checked at the end, and returns all violations.
func (o *oracle) check() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, request := range o.requests {
		rejected := request.status == 503 || request.status == 429
		if rejected && request.kind != safe && len(o.runs[id]) > 0 {
			o.addViolation("REFUSED: %s request %s got status %d but ran at %v", request.kind, id, request.status, o.runs[id])
		}
		if request.status == 200 && len(o.runs[id]) == 0 {
			o.addViolation("MIXED: %s request %s got status 200 but ran on no server", request.kind, id)
		}
	}
	if len(o.lateRuns) > maxLateRuns {
		o.addViolation("GONE: %d requests reached servers after their callers had left: %v", len(o.lateRuns), o.lateRuns)
	}
	return o.violations
}
