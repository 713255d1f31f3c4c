package gateway

import (
	"context"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/hub"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

// linkRetry is the time between two attempts to reach the leader.
const leaderReconnectDelay = 300 * time.Millisecond

// followLeader keeps the link to the present leader until ctx ends.
func (g *gateway) followLeader(ctx context.Context) {
	disconnected := false
	for ctx.Err() == nil {
		address := g.leaderAddress()
		if address == "" {
			g.recordOwnReport()
			sleep(ctx, hub.ReportInterval)
			continue
		}
		client, err := hub.Dial(ctx, address)
		if err == nil {
			if disconnected {
				g.log.Part(logging.Peer).Event("leader is back", logging.Address(address))
			}
			disconnected = false
			err = g.serveLink(ctx, client, address)
			client.Close()
		}
		if ctx.Err() == nil && !disconnected && g.leaderAddress() == address {
			disconnected = true
			g.log.Part(logging.Peer).Event("leader is lost", logging.Address(address), logging.SystemError(err))
		}
		if g.leaderAddress() == address {
			sleep(ctx, leaderReconnectDelay)
		}
	}
}

// leaderAddress returns where the leader takes reports, or "" if this VM leads or none does.
func (g *gateway) leaderAddress() string {
	table := g.state.table.Load()
	if table == nil || table.Leader == g.controller.self || table.Resigned {
		return ""
	}
	return table.LeaderAddress
}

// hearsLeader reports whether the leader passes the assignment on to this VM.
func (g *gateway) leaderIsRelaying() bool { return g.follower(topicAssignment).fresh() }

// reportToSelf reports the load of a VM that leads.
func (g *gateway) recordOwnReport() {
	if !g.controller.isLeader.Load() {
		return
	}
	place := g.hub.HandleReport(g.report())
	g.place.Store(&place)
}

func (g *gateway) report() hub.Report {
	return hub.Report{
		VM: g.settings.VM, LinkMbps: g.settings.LinkMbps, Services: g.work.take(), Failed: g.state.failedTargets(),
	}
}

// takeReport applies the report of a VM while this one leads.
func (g *gateway) handleReport(report hub.Report) {
	g.load.add(report)
	g.watched.add(g.clock.Now(), report.Failed)
}

// serveLink sends reports and applies pushes until the link breaks or another VM leads.
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
		if push.Place != nil {
			g.place.Store(push.Place)
		}
		if push.Batch != nil {
			g.applyBatch(push.Batch)
		}
	}
}

// sendReports sends reports until the link breaks or another VM leads.
func (g *gateway) sendReports(ctx context.Context, client *hub.Client, address string) {
	ticker := time.NewTicker(hub.ReportInterval)
	defer ticker.Stop()
	for g.leaderAddress() == address {
		if client.Send(ctx, g.report()) != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-g.leaderChanged:
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

// passOn gives what the leader has read to all other VMs.
func (g *gateway) relay(topic string, from, to uint64, age time.Duration, records []relayedRecord) {
	batch := hub.Batch{Topic: topic, From: from, To: to, Age: uint32(max(0, age.Milliseconds()))}
	for _, record := range records {
		batch.Records = append(batch.Records, hub.Record{
			Key: record.Key, Value: record.Value, Offset: record.Offset, Delta: record.delta,
		})
	}
	if err := g.hub.Broadcast(batch); err != nil {
		g.log.Part(logging.Peer).Event("batch is not passed on", logging.Name(topic), logging.SystemError(err))
	}
}

// passedRecord is a record as it is passed on.
type relayedRecord struct {
	platform.Record
	// delta is true if the value is a delta of the former record of the key.
	delta bool
}
