package dispatch

import (
	"sync"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// pendingForward is an attempt that waits for the reply of one peer.
type pendingForward struct {
	to    model.VMID
	reply chan message.ForwardReply
}

// pendingForwards matches replies of peers to the forwarded requests and ID queries that this VM sent.
type pendingForwards struct {
	mu        sync.Mutex
	byAttempt map[string]pendingForward
	limit     int
}

// add registers an attempt and returns the channel for its reply. It returns false if too many attempts are pending.
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

// remove deletes an attempt; a later reply to it is dropped.
func (p *pendingForwards) remove(attempt string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byAttempt, attempt)
}

// deliver passes a reply to the attempt that waits for it. A reply from a VM other than the one queried is dropped.
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
