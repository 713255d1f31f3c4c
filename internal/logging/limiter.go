package logging

import (
	"sync"
	"time"
)

const (
	// freeRepeats is the number of lines with one key that are written before the limit applies.
	freeRepeats = 5
	// repeatInterval is the minimum time between two lines with one key after the first freeRepeats.
	repeatInterval = 10 * time.Second
	// idleReset is the time without a line after which the count for a key starts again at 0.
	idleReset = time.Minute
	// maxKeys bounds the memory of the limiter. Texts are constants, so a process uses far fewer keys than this.
	maxKeys = 4096
)

// lineKey identifies lines that repeat: lines of the same part with the same text.
type lineKey struct {
	part Part
	text string
}

type repeats struct {
	written    int
	suppressed int
	lastLine   time.Time
	lastSeen   time.Time
}

// limiter rate-limits lines with the same key.
type limiter struct {
	mu   sync.Mutex
	now  func() time.Time
	keys map[lineKey]*repeats
}

func newLimiter(now func() time.Time) *limiter {
	return &limiter{now: now, keys: map[lineKey]*repeats{}}
}

// allow reports whether a line may be written, and how many lines with its key were suppressed since the last one.
func (l *limiter) allow(key lineKey) (suppressed int, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	state := l.state(key)
	if now.Sub(state.lastSeen) >= idleReset {
		state.written = 0
	}
	state.lastSeen = now
	if state.written >= freeRepeats && now.Sub(state.lastLine) < repeatInterval {
		state.suppressed++
		return 0, false
	}
	suppressed = state.suppressed
	state.written++
	state.suppressed = 0
	state.lastLine = now
	return suppressed, true
}

// state returns the counters of a key, which it creates if needed. Beyond maxKeys, all new keys share one entry.
// The caller holds mu.
func (l *limiter) state(key lineKey) *repeats {
	if state, found := l.keys[key]; found {
		return state
	}
	if len(l.keys) >= maxKeys {
		key = lineKey{}
		if state, found := l.keys[key]; found {
			return state
		}
	}
	state := &repeats{}
	l.keys[key] = state
	return state
}

const (
	// requestLines is the sustained rate, in lines per second, of lines about requests and state changes
	// (Logger.Request and Logger.Event), and separately of lines about decisions (Logger.Decision) and about refusals
	// (Logger.Refusal).
	requestLines = 20
	// requestBurst is the number of such lines that may be written at once.
	requestBurst = 200
)

// lineBudget is a token bucket that limits the rate of lines regardless of their texts.
type lineBudget struct {
	mu         sync.Mutex
	now        func() time.Time
	tokens     float64
	last       time.Time
	suppressed int
}

func newLineBudget(now func() time.Time) *lineBudget {
	return &lineBudget{now: now, tokens: requestBurst, last: now()}
}

// take reports whether a line may be written, and how many lines were suppressed since the last one.
func (b *lineBudget) take() (suppressed int, allowed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.tokens = min(requestBurst, b.tokens+now.Sub(b.last).Seconds()*requestLines)
	b.last = now
	if b.tokens < 1 {
		b.suppressed++
		return 0, false
	}
	b.tokens--
	suppressed = b.suppressed
	b.suppressed = 0
	return suppressed, true
}
