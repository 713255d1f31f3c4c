package dispatch

import (
	"sync"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// pendingForward waits for the reply of one peer.
type pendingForward struct {
	to    model.VMID
	reply chan message.ForwardReply
}

// pendingForwards matches replies to the attempts that this VM forwarded.
type pendingForwards struct {
	mu        sync.Mutex
	byAttempt map[string]pendingForward
	limit     int
}

// add registers an attempt. It returns false if too many are pending.
func (p *pendingForwards) add(attempt string, to model.VMID) (<-chan message.ForwardReply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.byAttempt) >= p.limit {
		return nil, false
	}
	reply := make(chan message.ForwardReply, 1)
	p.byAttempt[attempt] = pendingForward{to: to, reply: reply}
	return reply, true
}

// remove forgets an attempt; a later reply is dropped.
func (p *pendingForwards) remove(attempt string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byAttempt, attempt)
}

// deliver hands a reply to its attempt. A reply from a VM other than the one asked is dropped.
func (p *pendingForwards) deliver(from model.VMID, reply message.ForwardReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting, found := p.byAttempt[reply.Attempt]
	if !found || waiting.to != from {
		return
	}
	delete(p.byAttempt, reply.Attempt)
	waiting.reply <- reply
}

// runningKey identifies a request that a peer forwarded to this VM.
type runningKey struct {
	from    model.VMID
	attempt string
}
