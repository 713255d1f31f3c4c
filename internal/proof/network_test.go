package proof

import (
	"container/heap"
	"math/rand"
	"time"
)

// event is a callback at a virtual time. Events of the same time run in the order of their sequence numbers.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// scheduler runs events in virtual time.
type scheduler struct {
	now      time.Duration
	queue    eventQueue
	sequence int
	random   *rand.Rand
}

func (s *scheduler) after(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{at: s.now + delay, sequence: s.sequence, run: run})
}

// runFor runs all events of a span of virtual time and calls check after each.
func (s *scheduler) runFor(span time.Duration, check func()) {
	end := s.now + span
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
		check()
	}
	s.now = end
}

// network delays and drops messages between named endpoints.
type network struct {
	*scheduler
	// cut holds the one-way partitions, by sender and receiver.
	cut map[[2]string]bool
	// dropOneIn is n if one in n messages is dropped; 0 means none.
	dropOneIn int
	// extraDelay is added to the latency of messages to an endpoint.
	extraDelay map[string]time.Duration
	// noLateMessages turns off the additional delay of up to maxLate.
	noLateMessages bool
}

const (
	minLatency = time.Millisecond
	maxLatency = 13 * time.Millisecond
	// lateOneIn is n if one in n messages is delayed by up to maxLate in addition, which reorders it.
	lateOneIn = 50
	maxLate   = 800 * time.Millisecond
)

func (n *network) latency() time.Duration {
	latency := minLatency + time.Duration(n.random.Int63n(int64(maxLatency-minLatency)))
	if !n.noLateMessages && n.random.Intn(lateOneIn) == 0 {
		latency += time.Duration(n.random.Int63n(int64(maxLate)))
	}
	return latency
}

// send delivers a message unless the link is cut when it is sent or when it arrives, or the message is dropped.
func (n *network) send(from, to string, deliver func()) {
	link := [2]string{from, to}
	if n.cut[link] || n.dropOneIn > 0 && n.random.Intn(n.dropOneIn) == 0 {
		return
	}
	arrive := func() {
		if !n.cut[link] {
			deliver()
		}
	}
	n.after(n.latency()+n.extraDelay[to], arrive)
}
