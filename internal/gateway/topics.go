package gateway

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/registry"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

func (g *gateway) operatorFollower() *topicFollower {
	return &topicFollower{
		name: "operator", topic: platform.TopicOperator, gw: g,
		pollWait: func() time.Duration { return operatorPollWait }, leaderPollWait: leaderPollWait, relistAge: topicRelistAge, freshness: relayFreshness,
		readInterval: func() time.Duration { return 0 },
		applyList:    g.listOperator,
		applyRecord: func(now model.Instant, record platform.Record) *relayedRecord {
			g.applyOperator(now, record)
			return fullRecord(record)
		},
	}
}

func (g *gateway) applyOperator(now model.Instant, record platform.Record) platform.OperatorRecord {
	log := g.log.Part(logging.Config)
	decoded, err := platform.DecodeOperator(record)
	if err != nil {
		log.Event("record rejected", logging.Name(record.Key), logging.Offset(model.Offset(record.Offset)),
			logging.ErrorType(err), logging.SystemError(err))
		return platform.OperatorRecord{}
	}
	if config := decoded.Config; config != nil {
		current := g.state.config.Load()
		if current != nil && config.Version <= current.Version {
			return decoded
		}
		g.state.setConfig(config)
		log.Event("configuration applied", logging.ConfigVersion(config.Version),
			logging.Offset(model.Offset(record.Offset)), logging.Count(config.Routes()),
			logging.Tenants(len(config.Tenants.All())))
		g.reportUnknown(config.Version, decoded.Unknown)
		if current != nil {
			g.reportTenants(config.Version, current.Tenants, config.Tenants)
		}
		g.controller.viewChanged()
	}
	if zone := decoded.EvacuationZone; zone != "" {
		changed := false
		g.state.withRegistry(func(r *registry.Registry) { changed = r.SetEvacuated(now, zone, decoded.Evacuated) })
		if changed {
			log.Event("zone state changed", logging.Zone(zone), logging.State(evacuationState(decoded.Evacuated)))
			g.controller.viewChanged()
		}
	}
	return decoded
}

// maxLoggedUnknown bounds the lines about one version of the configuration.
const maxLoggedUnknown = 20

// reportUnknown counts and logs the parts of a configuration that this program does not know.
func (g *gateway) reportUnknown(version uint64, unknown []string) {
	g.metrics.unknownConfig(len(unknown))
	log := g.log.Part(logging.Config)
	for i, part := range unknown {
		if i == maxLoggedUnknown {
			log.Event("further unknown parts of the configuration are not logged", logging.ConfigVersion(version),
				logging.Count(len(unknown)-i))
			return
		}
		log.Event("unknown part of the configuration left out", logging.ConfigVersion(version), logging.Reason(part))
	}
}

func evacuationState(evacuated bool) string {
	if evacuated {
		return "out of service"
	}
	return "in service"
}

func (g *gateway) targetFollower() *topicFollower {
	f := &topicFollower{
		name: "targets", topic: platform.TopicTargets, gw: g, relistAge: topicRelistAge, freshness: relayFreshness,
		readInterval: func() time.Duration { return targetsReadInterval },
		pollWait:     func() time.Duration { return 0 },
	}
	f.onEnd = g.verified.confirmAll
	f.applyList = func(now model.Instant, page platform.Page, restored bool) []relayedRecord {
		return g.listTargets(now, page, restored, f.writtenAfter)
	}
	f.applyRecord = func(now model.Instant, record platform.Record) *relayedRecord {
		return g.applyTarget(now, record, f.writtenAfter(record.Offset))
	}
	return f
}

// expireTargets records in the registry whether the store responds, and removes entries that expired during an outage
// of the store and have not been renewed since.
func (g *gateway) expireTargets(now model.Instant, responded bool) {
	g.state.withRegistry(func(r *registry.Registry) {
		r.SetStoreAvailable(now, responded)
		for _, id := range r.Expire(now) {
			g.log.Part(logging.Registry).Event("target removed", logging.TargetID(id), logging.Reason("entry expired"))
			g.controller.viewChanged()
		}
	})
}

// listOperator applies the list of operator records. Zones that are not in the list are in service. A list that was restored from an
// older copy ends no evacuation: the record of one that began since is missing, or says that the zone is in service.
func (g *gateway) listOperator(now model.Instant, page platform.Page, restored bool) []relayedRecord {
	listed := map[model.Zone]bool{}
	var relayed []relayedRecord
	for _, record := range page.Records {
		if restored && endsEvacuation(record) {
			continue
		}
		if decoded := g.applyOperator(now, record); decoded.Evacuated {
			listed[decoded.EvacuationZone] = true
		}
		relayed = append(relayed, *fullRecord(record))
	}
	if restored {
		return relayed
	}
	var zones []model.Zone
	g.state.withRegistry(func(r *registry.Registry) { zones = r.EvacuatedZones() })
	for _, zone := range zones {
		if !listed[zone] {
			evacuationEnd := platform.EvacuationEndRecord(zone, page.Next)
			g.applyOperator(now, evacuationEnd)
			relayed = append(relayed, *fullRecord(evacuationEnd))
		}
	}
	return relayed
}

// endsEvacuation reports whether a record puts a zone in service.
func endsEvacuation(record platform.Record) bool {
	decoded, err := platform.DecodeOperator(record)
	return err == nil && decoded.EvacuationZone != "" && !decoded.Evacuated
}

// listTargets applies the list of registrations. Targets that are not in the list are removed, unless it was restored
// from an older copy. writtenAfter returns an instant before which the record at an offset was not written, or 0.
func (g *gateway) listTargets(
	now model.Instant, page platform.Page, restored bool, writtenAfter func(offset uint64) model.Instant,
) []relayedRecord {
	listed := map[model.TargetID]bool{}
	var relayed []relayedRecord
	for _, record := range page.Records {
		if r := g.applyTarget(now, record, writtenAfter(record.Offset)); r != nil {
			relayed = append(relayed, *r)
		}
		listed[model.TargetID(record.Key)] = true
	}
	var known []model.TargetID
	g.state.withRegistry(func(r *registry.Registry) { known = r.IDs() })
	for _, id := range known {
		if !listed[id] && !restored {
			g.removeTarget(now, id, "entry not listed")
			relayed = append(relayed, *fullRecord(platform.Record{Key: string(id), Offset: page.Next}))
		}
	}
	g.state.mu.Lock()
	g.state.registryRead = true
	g.state.mu.Unlock()
	g.controller.viewChanged()
	return relayed
}

// listTables applies the newest assignment.
func (g *gateway) listTables(page platform.Page, writtenAfter func(offset uint64) model.Instant) []relayedRecord {
	if len(page.Records) == 0 && g.state.table.Load() == nil {
		g.state.setTable(&keyspace.Table{})
	}
	var relayed []relayedRecord
	for _, record := range page.Records {
		g.applyTable(record, writtenAfter(record.Offset))
		relayed = append(relayed, *fullRecord(record))
	}
	return relayed
}

// applyTarget applies a record and returns the record to relay, or nil if there is nothing to relay. A record that cannot be
// decoded names no target, so the target that had its key is removed here and at the other VMs; the record itself may be
// of any size and content and is not passed on. writtenAfter is an instant before which the record was not written, or 0.
func (g *gateway) applyTarget(now model.Instant, record platform.Record, writtenAfter model.Instant) *relayedRecord {
	log := g.log.Part(logging.Registry)
	id := model.TargetID(record.Key)
	if len(record.Value) == 0 {
		g.removeTarget(now, id, "entry removed")
		return fullRecord(record)
	}
	registration, err := platform.DecodeTarget(record)
	if err != nil {
		log.Event("record rejected", logging.TargetID(id), logging.Offset(model.Offset(record.Offset)),
			logging.SystemError(err))
		if !g.removeTarget(now, id, "entry cannot be decoded") {
			return nil
		}
		return fullRecord(platform.Record{Key: record.Key, Offset: record.Offset})
	}
	target := registration.Target
	outdated, changed := false, false
	g.state.withRegistry(func(r *registry.Registry) {
		outdated = r.IsOutdated(now, target)
		changed = r.Report(now, target, registration.ColdLeft, writtenAfter)
	})
	if outdated {
		log.Event("outdated report ignored", logging.TargetID(id), logging.ReportNumber(target.Report),
			logging.State(targetState(registration)), logging.Offset(model.Offset(record.Offset)))
		return nil
	}
	if changed {
		log.Event("target state changed", logging.TargetID(id), logging.Service(target.Service), logging.Zone(target.Zone),
			logging.Address(target.Address), logging.State(targetState(registration)))
		g.controller.viewChanged()
	}
	if !changed && !g.watched.has(now, id) {
		return nil
	}
	return fullRecord(record)
}

// removeTarget removes a target and reports whether it was known. One whose entry may have expired during an outage of the
// store is kept for some time.
func (g *gateway) removeTarget(now model.Instant, id model.TargetID, reason string) (wasKnown bool) {
	removed := false
	g.state.withRegistry(func(r *registry.Registry) {
		_, wasKnown = r.Lookup(now, id)
		removed = r.Remove(now, id)
	})
	if removed {
		g.log.Part(logging.Registry).Event("target removed", logging.TargetID(id), logging.Reason(reason))
		g.controller.viewChanged()
	}
	return wasKnown
}

func targetState(registration platform.Registration) string {
	switch {
	case registration.Target.Draining:
		return "draining"
	case registration.ColdLeft > 0:
		return "cold"
	}
	return "ready"
}

func (g *gateway) tableFollower() *topicFollower {
	f := &topicFollower{
		name: "assignment", topic: topicAssignment, gw: g,
		readInterval: func() time.Duration { return g.assignmentReadIntervalAt(g.clock.Now()) }, relistAge: assignmentRelistAge, freshness: relayFreshness,
		pollWait:  func() time.Duration { return assignmentPollWait },
		onRead:    g.assignmentRead,
		onRelayed: g.leaderHeard,
	}
	f.applyList = func(_ model.Instant, page platform.Page, _ bool) []relayedRecord {
		return g.listTables(page, f.writtenAfter)
	}
	f.applyRecord = func(_ model.Instant, record platform.Record) *relayedRecord {
		return g.changeTable(record, f.writtenAfter(record.Offset))
	}
	f.applyDelta = func(_ model.Instant, record platform.Record) bool {
		return g.applyTableDelta(record, f.writtenAfter(record.Offset))
	}
	return f
}

// assignmentRead handles a read of the assignment that began at started and ended at the end of the topic.
func (g *gateway) assignmentRead(started model.Instant, end uint64) {
	g.controller.tableConfirmed(started, end)
	if g.controller.isLeader.Load() {
		g.leaderHeard(started, end)
	}
}

// leaderHeard records that the leader was alive at an instant and that its assignment was the last record before the offset end.
// A later record that cannot be decoded may name another leader.
func (g *gateway) leaderHeard(at model.Instant, end uint64) {
	table := g.state.table.Load()
	if table == nil || table.Leader == "" || table.Offset+1 != end {
		return
	}
	now := g.clock.Now()
	if g.holds.leaderHeard(now, at) {
		g.log.Part(logging.Keyspace).Event("leader confirms the owners of the keys", logging.TableOffset(table.Offset),
			logging.Name(table.Leader), logging.Count(len(table.Ranges)))
		g.state.notify()
	}
	g.controller.leaderHeard(at, table.Leader)
}

// assignmentReadIntervalAt returns the shortest time between two reads of the assignment by a VM to which no leader relays it. While
// requests wait for a leader it does not grow with the table, because the next record is that of a new leader.
func (g *gateway) assignmentReadIntervalAt(now model.Instant) time.Duration {
	interval := assignmentReadInterval
	if table := g.state.table.Load(); table != nil && !g.holds.lapsed(now) {
		interval += time.Duration(len(table.Ranges)) * assignmentReadIntervalPerRange
	}
	return interval
}

// changeTable applies a record of the assignment that was not written before an instant and returns the record to relay: a delta
// if it can be encoded.
func (g *gateway) changeTable(record platform.Record, writtenAfter model.Instant) *relayedRecord {
	table := g.decodeTable(record)
	if table == nil {
		return fullRecord(record)
	}
	base := g.lastReadTable
	g.lastReadTable = table
	g.setTable(table, writtenAfter)
	if table.Offset != record.Offset {
		// The record states an earlier era, so other VMs do not take it for the newest table either.
		g.lastReadTable = nil
		return fullRecord(record)
	}
	if base == nil {
		return fullRecord(record)
	}
	raw, err := keyspace.EncodeDelta(base, table)
	if err != nil {
		g.log.Part(logging.Keyspace).Event("encoding the assignment delta failed; the full assignment is relayed",
			logging.SystemError(err))
		return fullRecord(record)
	}
	return &relayedRecord{Record: platform.Record{Key: record.Key, Value: raw, Offset: record.Offset}, delta: true}
}

// applyTableDelta applies a delta that the leader relayed. It returns false if the delta does not apply to the current
// table.
func (g *gateway) applyTableDelta(record platform.Record, writtenAfter model.Instant) bool {
	base := g.state.table.Load()
	if base != nil && base.Offset >= record.Offset {
		return true
	}
	table, err := keyspace.ApplyDelta(base, record.Value, record.Offset)
	if err != nil {
		return false
	}
	g.lastReadTable = table
	g.setTable(table, writtenAfter)
	return true
}

// applyTable applies a record of the assignment.
func (g *gateway) applyTable(record platform.Record, writtenAfter model.Instant) {
	if table := g.decodeTable(record); table != nil {
		g.lastReadTable = table
		g.setTable(table, writtenAfter)
	}
}

// decodeTable returns nil for a record that does not hold a valid table.
func (g *gateway) decodeTable(record platform.Record) *keyspace.Table {
	if record.Key != keyAssignment {
		return nil
	}
	table, err := keyspace.DecodeTable(record.Value, record.Offset)
	if err != nil {
		g.log.Part(logging.Keyspace).Event("record rejected", logging.Offset(model.Offset(record.Offset)),
			logging.SystemError(err))
		return nil
	}
	return table
}

// setTable makes a table the current one if it is newer. writtenAfter is an instant before which it was not written, or 0.
func (g *gateway) setTable(table *keyspace.Table, writtenAfter model.Instant) {
	if current := g.state.table.Load(); current != nil && current.Leader != "" && table.Offset <= current.Offset {
		return
	}
	previousLeader := g.leaderAddress()
	g.installTable(g.clock.Now(), table, writtenAfter)
	if g.leaderAddress() != previousLeader {
		wake(g.reportNow)
	}
	g.log.Part(logging.Keyspace).Info("assignment applied", logging.TableOffset(table.Offset), logging.Name(table.Leader),
		logging.Count(len(table.Ranges)))
	g.controller.tableReceived(g.clock.Now(), table)
}

// installTable makes a table the current one.
func (g *gateway) installTable(now model.Instant, table *keyspace.Table, writtenAfter model.Instant) {
	g.holds.tableSet(now, g.state.table.Load(), table, writtenAfter)
	g.state.setTable(table)
}
