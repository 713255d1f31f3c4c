package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fanout"
	"github.com/tarragonpoint/tarragonpoint/internal/hub"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

const (
	// parentCheckInterval is the time between two checks of the parent in a deployment with relays. It adds to
	// fanout.ParentSilence.
	parentCheckInterval = 50 * time.Millisecond
	// unplannedCheckInterval is the same without relays; an assignment of the leader is handled at once.
	unplannedCheckInterval = time.Second
	// gapReadDelay is the longest delay of the read after a gap, which the children of a relay may see at the same time.
	gapReadDelay = 100 * time.Millisecond
)

// distribution is this VM's part in the distribution of records.
type distribution struct {
	// changed wakes the goroutine that keeps the subscription.
	changed chan struct{}

	mu    sync.Mutex
	child *fanout.Child
	// subscription numbers the subscriptions, and cancel ends the present one; nil if there is none.
	subscription uint64
	cancel       context.CancelFunc
	// needsMissing is true until the leader has been told which batches this VM has.
	needsMissing bool
}

func newDistribution() *distribution {
	return &distribution{
		changed: make(chan struct{}, 1), child: fanout.NewChild(platform.TopicOperator, platform.TopicTargets, topicAssignment),
	}
}

// isPlanned reports whether the deployment has relays.
func (d *distribution) isPlanned() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.child.IsPlanned()
}

func (d *distribution) isRelay() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.child.IsRelay()
}

// assign applies an assignment of the leader.
func (g *gateway) assign(assignment fanout.Assignment) {
	d := g.distribution
	d.mu.Lock()
	changed := assignment.Hash() != d.child.Hash()
	d.child.Assign(assignment)
	g.hub.Records().SetActive(d.child.IsPlanned())
	d.mu.Unlock()
	if changed {
		wake(d.changed)
	}
}

// passesOn reports whether this VM sends the batches that it gets, or reads without a leader, to other VMs.
func (g *gateway) passesOn() bool {
	return g.distribution.isPlanned() && (g.distribution.isRelay() || g.hub.Records().Subscribers() > 0)
}

// node returns the part of a report on the distribution of records. isFirst is true for the first report to a leader.
func (g *gateway) node(isFirst bool) *hub.Node {
	d := g.distribution
	d.mu.Lock()
	node := &hub.Node{Zone: g.settings.Zone, Address: g.settings.ListenPeers, Parent: d.child.Parent(), Plan: d.child.Hash()}
	asks := d.child.IsPlanned() && node.Parent == "" && (isFirst || d.needsMissing)
	d.needsMissing = false
	d.mu.Unlock()
	if asks {
		node.Next = g.offsets()
	}
	return node
}

// offsets returns how far this VM has read each topic.
func (g *gateway) offsets() []hub.TopicOffset {
	var offsets []hub.TopicOffset
	for _, f := range g.followers {
		f.mu.Lock()
		if f.listed {
			offsets = append(offsets, hub.TopicOffset{Topic: f.topic, Next: f.nextOffset})
		}
		f.mu.Unlock()
	}
	return offsets
}

// followParents keeps a subscription at a parent that the leader named until ctx ends.
func (g *gateway) followParents(ctx context.Context) {
	d := g.distribution
	for ctx.Err() == nil {
		g.checkParent(ctx)
		interval := unplannedCheckInterval
		if d.isPlanned() {
			interval = parentCheckInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-d.changed:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// checkParent opens and closes subscriptions as far as that is due, and tells the leader when this VM relies on another parent.
func (g *gateway) checkParent(ctx context.Context) {
	d := g.distribution
	d.mu.Lock()
	before := d.child.Parent()
	action := d.child.Step(g.clock.Now())
	parent := d.child.Parent()
	if action.Close && d.cancel != nil {
		d.cancel()
		d.cancel = nil
	}
	if action.Dial != nil {
		d.subscription++
		subscriptionContext, cancel := context.WithCancel(ctx)
		d.cancel = cancel
		go g.subscribe(subscriptionContext, d.subscription, *action.Dial)
	}
	d.needsMissing = d.needsMissing || parent == "" && before != ""
	d.mu.Unlock()
	g.logParent(before, parent, action)
	if parent != before {
		wake(g.reportNow)
	}
}

func (g *gateway) logParent(before, parent string, action fanout.Action) {
	log := g.log.Part(logging.Peer)
	if action.Failed != nil {
		g.metrics.parentChange("failed")
		log.Event("parent failed", logging.Name(action.Failed.Name), logging.Address(action.Failed.Address))
	}
	if parent == before {
		return
	}
	if parent == "" {
		g.metrics.parentChange("leader")
		log.Event("records come from the leader again", logging.Name(before))
		return
	}
	g.metrics.parentChange("parent")
	log.Info("records come from a parent", logging.Name(parent))
}

// subscribe receives batches from a parent until the subscription fails or ctx ends.
func (g *gateway) subscribe(ctx context.Context, number uint64, parent fanout.Peer) {
	update := func(event func(child *fanout.Child)) {
		d := g.distribution
		d.mu.Lock()
		if d.subscription == number {
			event(d.child)
		}
		d.mu.Unlock()
		wake(d.changed)
	}
	client, err := hub.Subscribe(ctx, parent.Address, g.settings.VM, g.clock.Now, g.offsets())
	if err != nil {
		update(func(child *fanout.Child) { child.Broken() })
		return
	}
	defer client.Close()
	update(func(child *fanout.Child) { child.Subscribed(g.clock.Now()) })
	for {
		received, err := client.ReceiveFrame(ctx)
		if err != nil {
			update(func(child *fanout.Child) { child.Broken() })
			return
		}
		topic, isInSequence := "", true
		if received.Batch != nil {
			topic, isInSequence = received.Batch.Topic, g.applyReceived(received)
		}
		update(func(child *fanout.Child) { child.ParentSent(g.clock.Now(), topic, received.Delay, isInSequence) })
	}
}

// applyReceived applies a batch and passes it on, and reports whether no records before it are missing.
func (g *gateway) applyReceived(received hub.Received) bool {
	f := g.follower(received.Batch.Topic)
	if f == nil {
		return true
	}
	isInSequence := f.applyBatch(received.Batch, !received.IsReadByRelay)
	if g.passesOn() {
		g.hub.Records().PassOn(received)
	}
	return isInSequence
}

// readDelay returns how long this VM waits before it reads a topic that is not relayed to it any more.
func (g *gateway) readDelay() time.Duration {
	if !g.distribution.isPlanned() {
		return 0
	}
	return fanout.ReadDelay(g.members(), g.distribution.isRelay(), rand.Float64())
}

// joinDelay returns how long this VM waits for another leader before it joins the election group.
func (g *gateway) joinDelay() time.Duration {
	if !g.distribution.isPlanned() {
		return 0
	}
	position := g.position.Load()
	isPreferred := position != nil && position.Candidate || g.distribution.isRelay()
	return fanout.JoinDelay(g.members(), isPreferred, rand.Float64())
}

// members returns the number of VMs as the leader last reported it, or 0.
func (g *gateway) members() int {
	if position := g.position.Load(); position != nil {
		return position.VMs
	}
	return 0
}
