package gateway

import (
	"context"
	"time"
	"unicode/utf8"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/fanout"
	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/hub"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/registry"
	"github.com/tarragonpoint/tarragonpoint/internal/shares"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

// leaderReconnectDelay is the delay between two attempts to connect to the leader.
const leaderReconnectDelay = 300 * time.Millisecond

// followLeader keeps a link to the current leader until ctx ends.
func (g *gateway) followLeader(ctx context.Context) {
	disconnected, wasLeader := false, false
	for ctx.Err() == nil {
		address := g.leaderAddress()
		if address == "" {
			isLeader := g.controller.isLeader.Load()
			if isLeader {
				g.handleOwnReport(!wasLeader)
			}
			wasLeader = isLeader
			if isLeader {
				g.awaitLeader(ctx, hub.ReportInterval)
				continue
			}
			// With a link within milliseconds of the start, TestStrikeRecordsOfOtherWriters failed in 2 of 4 runs (not traced).
			sleep(ctx, hub.ReportInterval)
			continue
		}
		wasLeader = false
		leader := g.leaderName()
		client, err := g.dialLeader(ctx, address)
		g.absence.record(g.clock.Now(), leader, err != nil && errorx.IsOfType(err, hub.ErrNotLeader))
		if err == nil {
			if disconnected {
				g.log.Part(logging.Peer).Event("reconnected to the leader", logging.Address(address))
			}
			disconnected = false
			err = g.serveLink(ctx, client, address)
			client.Close()
		}
		if ctx.Err() == nil && !disconnected && g.leaderAddress() == address {
			disconnected = true
			g.log.Part(logging.Peer).Event("connection to the leader failed", logging.Address(address), logging.SystemError(err))
		}
		if g.leaderAddress() == address {
			g.awaitLeader(ctx, leaderReconnectDelay)
		}
	}
}

// awaitLeader waits for a table that names another leader, at most for the given time. A VM that connects to a new leader before that
// has marked its ranges as ready gets the marks over the link and not with its next read of the store.
func (g *gateway) awaitLeader(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-g.reportNow:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// greeting returns the first push on a new link: a batch without records, which confirms the assignment to a VM that has read it
// from the store. There is none if this VM does not know that the assignment is its own and the newest.
func (g *gateway) greeting() (hub.Push, bool) {
	f := g.follower(topicAssignment)
	f.mu.Lock()
	defer f.mu.Unlock()
	table := g.state.table.Load()
	if !f.listed || table == nil || table.Leader != g.controller.self || table.Offset+1 != f.nextOffset {
		return hub.Push{}, false
	}
	age := max(0, g.clock.Now().Sub(f.confirmedAt))
	return hub.Push{Batch: &hub.Batch{
		Topic: topicAssignment, From: f.nextOffset, To: f.nextOffset, Age: uint32(age.Milliseconds()),
	}}, true
}

// leaderAddress returns the address at which the leader receives reports, or "" if this VM is the leader or there is
// none.
func (g *gateway) leaderAddress() string {
	table := g.state.table.Load()
	if table == nil || table.Leader == g.controller.self || table.Resigned {
		return ""
	}
	return table.LeaderAddress
}

// leaderIsRelaying reports whether the leader relays the assignment to this VM.
func (g *gateway) leaderIsRelaying() bool { return g.follower(topicAssignment).isRelayedByLeader() }

// handleOwnReport handles this VM's own report while it is the leader. isFirst is true for the first one of a term.
func (g *gateway) handleOwnReport(isFirst bool) {
	g.assign(fanout.Assignment{})
	report := g.report(isFirst)
	position, grant := g.hub.HandleOwnReport(report)
	g.position.Store(&position)
	g.applyGrant(grant)
	g.applyQuotas(g.hub.HandleOwnQuotas(report))
}

// applyGrant applies leases of this VM's shares of common limits.
func (g *gateway) applyGrant(grant shares.Grant) {
	if g.shares.Apply(grant) {
		g.log.Part(logging.Peer).Event("shares of common limits changed",
			logging.Units(g.shares.Held(g.clock.Now()), shares.Units), logging.Name(g.leaderName()))
	}
}

// leaderName returns the leader in the newest assignment, or "" if there is none.
func (g *gateway) leaderName() string {
	if table := g.state.table.Load(); table != nil {
		return table.Leader
	}
	return ""
}

// leadershipConfirmed reports whether the store has confirmed that the assignment that names this VM as the leader was the newest
// less than shares.ConfirmationTTL before an instant, and the term of leadership has begun in the era of that assignment. A later
// record that could not be decoded may name another leader.
func (g *gateway) leadershipConfirmed(now model.Instant) bool {
	f := g.follower(topicAssignment)
	f.mu.Lock()
	defer f.mu.Unlock()
	table := g.state.table.Load()
	if table == nil || table.Leader != g.controller.self || table.Resigned || f.nextOffset > table.Offset+1 {
		return false
	}
	if model.EraOf(table.Offset) != g.controller.termEra.Load() {
		return false
	}
	return now.Sub(f.newestAt) < shares.ConfirmationTTL
}

// report returns this VM's next report, which must be sent at once. isFirst is true for the first one to a leader.
func (g *gateway) report(isFirst bool) hub.Report {
	report := hub.Report{
		VM: g.settings.VM, Incarnation: g.controller.self, LinkMbps: g.settings.LinkMbps, Services: g.work.take(),
		Failed: g.state.failedTargets(), Leaving: g.state.markedLeaving(), Strikes: g.strikes.unstored(g.clock.Now()),
		Shares: g.shares.Request(g.clock.Now(), isFirst), Node: g.node(isFirst),
	}
	report.Shares.Ends = g.draining.Load()
	report.Quotas = g.quotaRequest(g.clock.Now(), isFirst)
	return report
}

// handleReport processes the report of a VM while this VM is the leader.
func (g *gateway) handleReport(report hub.Report) {
	g.load.add(report)
	g.watched.add(g.clock.Now(), report.Failed)
	for _, incarnation := range report.Leaving {
		g.markLeaving(incarnation, "report of a VM")
	}
	g.acceptStrikes(report.Strikes)
}

// markLeaving records that a target is about to stop, although the store may still have it as ready.
func (g *gateway) markLeaving(incarnation fleet.Incarnation, source string) {
	marked := false
	g.state.withRegistry(func(r *registry.Registry) { marked = r.MarkLeaving(g.clock.Now(), incarnation) })
	if marked {
		g.log.Part(logging.Registry).Event("target is about to stop", logging.TargetID(incarnation.ID), logging.Reason(source))
		g.controller.viewChanged()
	}
}

// serveLink sends reports and applies pushes until the link fails or the leader changes.
func (g *gateway) serveLink(ctx context.Context, client *hub.Client, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		g.sendReports(ctx, client, address)
	}()
	client.UseClock(g.clock.Now, g.distribution.isPlanned)
	for {
		push, err := client.ReceiveFrame(ctx)
		if err != nil {
			return err
		}
		if push.Position != nil {
			g.position.Store(push.Position)
		}
		if push.Shares != nil {
			g.applyGrant(*push.Shares)
		}
		g.applyQuotas(push.Quotas)
		if push.Batch != nil {
			g.leaderSent()
			g.applyReceived(push)
		}
		if push.Upstream != nil {
			g.assign(push.Upstream.Assignment())
		}
		for _, strike := range push.Strikes {
			g.applyStrike(decodeStrike(g.clock.Now(), strike), strikePushed)
		}
	}
}

// sendReports sends reports until the link fails or the leader changes.
func (g *gateway) sendReports(ctx context.Context, client *hub.Client, address string) {
	ticker := time.NewTicker(hub.ReportInterval)
	defer ticker.Stop()
	for isFirst := true; g.leaderAddress() == address; isFirst = false {
		if client.Send(ctx, g.report(isFirst)) != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-g.reportNow:
		case <-ctx.Done():
			return
		}
	}
}

// leaderSent records that the leader sent a batch.
func (g *gateway) leaderSent() {
	d := g.distribution
	d.mu.Lock()
	defer d.mu.Unlock()
	d.child.LeaderSent(g.clock.Now())
}

// relay sends records that this VM has read to other VMs: as the leader to all of them, otherwise to its subscribers.
func (g *gateway) relay(topic string, from, to uint64, age time.Duration, records []relayedRecord) {
	batch := hub.Batch{Topic: topic, From: from, To: to, Age: uint32(max(0, age.Milliseconds()))}
	for _, record := range records {
		if !utf8.ValidString(record.Key) {
			// Such a key names nothing that a VM uses, and no VM could decode the batch.
			continue
		}
		batch.Records = append(batch.Records, hub.Record{
			Key: record.Key, Value: record.Value, Offset: record.Offset, Delta: record.delta,
		})
	}
	if err := g.hub.Broadcast(hub.Push{Batch: &batch}); err != nil {
		g.log.Part(logging.Peer).Event("relaying a batch of records failed", logging.Name(topic), logging.SystemError(err))
	}
}

// relayedRecord is a record in the form in which the leader relays it.
type relayedRecord struct {
	platform.Record
	// delta is true if the value is a delta against the previous record of the key.
	delta bool
}
