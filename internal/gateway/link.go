package gateway

import (
	"context"
	"time"
	"unicode/utf8"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/hub"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/registry"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

// leaderReconnectDelay is the delay between two attempts to connect to the leader.
const leaderReconnectDelay = 300 * time.Millisecond

// followLeader keeps a link to the current leader until ctx ends.
func (g *gateway) followLeader(ctx context.Context) {
	disconnected := false
	for ctx.Err() == nil {
		address := g.leaderAddress()
		if address == "" {
			g.recordOwnReport()
			sleep(ctx, hub.ReportInterval)
			continue
		}
		client, err := g.dialLeader(ctx, address)
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
			sleep(ctx, leaderReconnectDelay)
		}
	}
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
func (g *gateway) leaderIsRelaying() bool { return g.follower(topicAssignment).fresh() }

// recordOwnReport processes this VM's own load report if it is the leader.
func (g *gateway) recordOwnReport() {
	if !g.controller.isLeader.Load() {
		return
	}
	g.setPosition(g.hub.HandleReport(g.report()))
}

// countedPosition is a settled position and when this VM received it.
type countedPosition struct {
	hub.Position
	at model.Instant
}

func (g *gateway) setPosition(position hub.Position) {
	if former := g.position.Swap(&position); former == nil || *former != position {
		g.log.Part(logging.Peer).Event("position among the VMs changed", logging.Position(position.VMs, position.Rank),
			logging.State(positionState(position)), logging.Name(g.leaderName()))
	}
	if position.Settled {
		g.counted.Store(&countedPosition{Position: position, at: g.clock.Now()})
	}
}

func positionState(position hub.Position) string {
	if position.Settled {
		return "settled"
	}
	return "unsettled"
}

// leaderName returns the leader in the newest assignment, or "" if there is none.
func (g *gateway) leaderName() string {
	if table := g.state.table.Load(); table != nil {
		return table.Leader
	}
	return ""
}

// currentRank returns this VM's position for limits that are divided by rank, or nil if it may be out of date: several VMs
// could then act under the same rank.
func (g *gateway) currentRank(now model.Instant) *hub.Position {
	counted := g.counted.Load()
	if counted == nil || now.Sub(counted.at) > hub.PositionTTL {
		return nil
	}
	return &counted.Position
}

// leadershipConfirmed reports whether the store has recently confirmed that the assignment that names this VM as the leader
// is the newest.
func (g *gateway) leadershipConfirmed() bool {
	f := g.follower(topicAssignment)
	f.mu.Lock()
	defer f.mu.Unlock()
	return g.clock.Now().Sub(f.confirmedAt) < hub.PositionTTL
}

func (g *gateway) report() hub.Report {
	return hub.Report{
		VM: g.settings.VM, LinkMbps: g.settings.LinkMbps, Services: g.work.take(), Failed: g.state.failedTargets(),
		Leaving: g.state.markedLeaving(), Strikes: g.strikes.unstored(g.clock.Now()),
	}
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
	for {
		push, err := client.Receive(ctx)
		if err != nil {
			return err
		}
		if push.Position != nil {
			g.setPosition(*push.Position)
		}
		if push.Batch != nil {
			g.applyBatch(push.Batch)
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
	for g.leaderAddress() == address {
		if client.Send(ctx, g.report()) != nil {
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

func (g *gateway) applyBatch(batch *hub.Batch) {
	if f := g.follower(batch.Topic); f != nil {
		f.applyBatch(batch)
	}
}

// relay sends records that the leader has read to all other VMs.
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
