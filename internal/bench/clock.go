package bench

import (
	"container/heap"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// event is an action at an instant. Events of the same instant run in the order of their creation, given by seq.
type event struct {
	at  model.Instant
	seq uint64
	do  func()
}

// clock is a discrete-event simulator that runs events in virtual time.
type clock struct {
	now    model.Instant
	seq    uint64
	events eventHeap
}

// after schedules an action after a delay.
func (c *clock) after(delay time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{c.now.Add(delay), c.seq, do})
}

// every schedules an action at a fixed interval for the rest of the run; the first one is after the interval.
func (c *clock) every(interval time.Duration, do func()) {
	c.after(interval, func() {
		do()
		c.every(interval, do)
	})
}

// runUntil runs all events up to and including end and sets the clock to end.
func (c *clock) runUntil(end model.Instant) {
	for len(c.events) > 0 && c.events[0].at <= end {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.do()
	}
	c.now = end
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
