package soak

import (
	"fmt"
	"sync"
	"time"
)

const (
	// thawExcuse is how long after a paused VM goes on a grant may arrive that it had decided on before.
	thawExcuse = 300 * time.Millisecond
	// maxViolations bounds the violations that are kept, as one fault can cause many.
	maxViolations = 20
)

// ledger is the oracle: what targets ran and what callers were told. It shares no code with the router.
type ledger struct {
	mu         sync.Mutex
	servers    []*server
	runs       map[string][]string
	requests   map[string]*sent
	violations []string
	thawedAt   time.Time
	served     map[string]int
}

// sent is what a caller asked and was told.
type sent struct {
	kind   string
	status int
	// broken is true if the connection ended without an answer.
	broken bool
}

func newLedger() *ledger {
	return &ledger{runs: map[string][]string{}, requests: map[string]*sent{}, served: map[string]int{}}
}

// violate records a broken promise. The mutex is held.
func (l *ledger) violate(format string, args ...any) {
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// begin records that a server begins to run a request. No other server that is up may hold the key of the request. The
// mutex is held.
func (l *ledger) begin(by *server, id string, key int) {
	l.runs[id] = append(l.runs[id], by.id)
	known := l.requests[id]
	if known == nil {
		l.violate("UNASKED: %s runs request %s, which no caller sent", by.id, id)
		return
	}
	if known.kind != safe && len(l.runs[id]) > 1 {
		l.violate("TWICE: %s request %s runs at %v", known.kind, id, l.runs[id])
	}
	if key < 0 {
		return
	}
	for _, other := range l.servers {
		if other == by || !other.up || other.service != by.service {
			continue
		}
		if held := other.heldNow(key); held != nil && !held.excused {
			l.violate("OWNER: %s runs a request for key %d, which %s holds under fence %d", by.id, key, other.id, held.fence)
		}
	}
}

// ask records that a caller sends a request.
func (l *ledger) ask(id, kind string) *sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	asked := &sent{kind: kind}
	l.requests[id] = asked
	return asked
}

// told records the end of a request at its caller.
func (l *ledger) told(asked *sent, status int, broken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	asked.status, asked.broken = status, broken
	if status == 200 {
		l.served[asked.kind]++
	}
}

// check looks at the promises that can only be judged at the end.
func (l *ledger) check() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, asked := range l.requests {
		refused := asked.status == 503 || asked.status == 429
		if refused && asked.kind != safe && len(l.runs[id]) > 0 {
			l.violate("REFUSED: %s request %s was answered %d and ran at %v", asked.kind, id, asked.status, l.runs[id])
		}
		if asked.status == 200 && len(l.runs[id]) == 0 {
			l.violate("MIXED: %s request %s was served and ran nowhere", asked.kind, id)
		}
	}
	return l.violations
}
