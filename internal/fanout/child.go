package fanout

import (
	"slices"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Action is what a VM has to do for its subscription. Closing comes before dialing.
type Action struct {
	// Close is true if the present subscription has to be closed.
	Close bool
	// Dial is the parent to which a subscription has to be opened; nil if there is none.
	Dial *Peer
	// Failed is the parent that was given up because of a failure; nil if none was.
	Failed *Peer
}

type childState uint8

const (
	// childIdle has no subscription, childDialing opens one, childTrial has one that has not sent each topic yet.
	childIdle childState = iota
	childDialing
	childTrial
	childFed
)

// Child decides to which parent a VM subscribes, and whether the leader has to send it the batches. It is not safe for concurrent
// use.
type Child struct {
	selector *selector
	// topics are those of which a parent must have sent a batch before the VM relies on it.
	topics  []string
	state   childState
	current Peer
	// isBroken is true once the subscription has failed.
	isBroken bool
	// startedAt is when the subscription was opened, batchAt when the parent had the last batch that came over it, and messageAt
	// when the last message came.
	startedAt, batchAt, messageAt model.Instant
	// leaderAt is when the leader last sent a batch itself.
	leaderAt model.Instant
	sent     map[string]bool
	// reliedOn is the name of the parent on which the VM relies; "" if the leader sends the batches.
	reliedOn string
	// lostAt is when the VM left the parent on which it relies, and 0 while that sends batches.
	lostAt  model.Instant
	planned bool
	isRelay bool
	hash    uint32
}

// NewChild returns a VM without parents. topics are those of which a parent must have sent a batch before the VM relies on it.
func NewChild(topics ...string) *Child { return &Child{selector: newSelector(), topics: topics} }

// Assign applies an assignment of the leader.
func (c *Child) Assign(assignment Assignment) {
	c.selector.setParents(assignment.Parents)
	c.hash, c.isRelay = assignment.Hash(), assignment.IsRelay
	c.planned = c.hash != 0
}

// Hash returns the hash of the present assignment.
func (c *Child) Hash() uint32 { return c.hash }

// IsRelay reports whether the VM is a relay.
func (c *Child) IsRelay() bool { return c.isRelay }

// IsPlanned reports whether the VM is in a deployment with relays.
func (c *Child) IsPlanned() bool { return c.planned }

// Parent returns the name of the parent on which the VM relies, or "" if the leader has to send the batches.
func (c *Child) Parent() string { return c.reliedOn }

// LeaderSent records a batch that came from the leader itself.
func (c *Child) LeaderSent(now model.Instant) { c.leaderAt = now }

// Subscribed records that a subscription is open.
func (c *Child) Subscribed(now model.Instant) {
	if c.state == childDialing {
		c.state, c.startedAt, c.messageAt, c.batchAt, c.sent = childTrial, now, now, now, map[string]bool{}
	}
}

// Broken records that the subscription could not be opened or has failed.
func (c *Child) Broken() { c.isBroken = true }

// ParentSent records a message of the parent. topic is that of its batch, or "" for a heartbeat; delay is the time since the parent
// had it, and isInSequence is false if records before the batch are missing.
func (c *Child) ParentSent(now model.Instant, topic string, delay time.Duration, isInSequence bool) {
	c.messageAt = now
	if topic == "" {
		return
	}
	c.batchAt = max(c.batchAt, now.Add(-delay))
	// The parent itself is slow, whatever the leader sends.
	c.isBroken = c.isBroken || c.state == childFed && delay >= ParentSilence
	// A batch that the parent has had for long may be the last one that it got.
	if c.state != childTrial || !isInSequence || delay >= ParentSilence {
		return
	}
	c.sent[topic] = true
	for _, required := range c.topics {
		if !c.sent[required] {
			return
		}
	}
	c.state, c.reliedOn, c.lostAt = childFed, c.current.Name, 0
	c.selector.succeed()
}

// Step returns what has to be done now. It must be called after each event and every few tens of milliseconds.
func (c *Child) Step(now model.Instant) Action {
	action := c.step(now)
	switch {
	case c.state == childFed:
	case c.lostAt == 0:
		c.lostAt = now
	case now.Sub(c.lostAt) >= takeoverTimeout:
		c.reliedOn = ""
	}
	return action
}

func (c *Child) step(now model.Instant) Action {
	action := Action{}
	failed := c.current
	switch {
	case c.state != childIdle && c.hasFailed(now):
		action.Close, action.Failed = true, &failed
		if c.selector.fail(now, failed) {
			c.reliedOn = ""
		}
		c.state = childIdle
	case c.state == childFed && now.Sub(c.batchAt) >= ParentSilence:
		// Another parent may have batches. If not, the VM stays there until the leader shows that there are any.
		action.Close, action.Failed = true, &failed
		c.selector.suspend(now, failed)
		c.state = childIdle
	}
	preferred, found := c.selector.choose(now)
	if !found {
		action.Close = action.Close || c.state != childIdle
		c.state, c.reliedOn = childIdle, ""
		return action
	}
	if c.state != childIdle && (c.current == preferred || !c.mayReplace(preferred)) {
		return action
	}
	action.Close = action.Close || c.state != childIdle
	action.Dial = &preferred
	c.state, c.current, c.startedAt, c.isBroken = childDialing, preferred, now, false
	return action
}

// mayReplace reports whether another parent may replace the present one, which works: the leader does not name the present
// one any more, or prefers the other.
func (c *Child) mayReplace(other Peer) bool {
	return !slices.Contains(c.selector.parents, c.current) || other == c.selector.parents[0]
}

// hasFailed reports whether the present parent is to be left. One that runs but has no batches is left only once the leader itself has
// sent later ones: without a leader, or during an outage of the store, no parent has any.
func (c *Child) hasFailed(now model.Instant) bool {
	switch {
	case c.isBroken:
		return true
	case c.state == childDialing:
		return now.Sub(c.startedAt) >= ParentDialTimeout
	case now.Sub(c.batchAt) >= ParentSilence && now.Sub(c.messageAt) >= missedHeartbeats*HeartbeatInterval:
		return true
	case c.leaderAt.Sub(c.batchAt) >= ParentSilence:
		return true
	}
	return c.state == childTrial && now.Sub(c.startedAt) >= trialTimeout && now.Sub(c.leaderAt) < ParentSilence
}
