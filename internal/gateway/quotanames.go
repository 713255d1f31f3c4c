package gateway

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

// A new leader may grant what no VM claims only when no VM can hold it any more. Without knowing the VMs, that is when all leases of
// former leaders have ended, 7.1 s after the term began. With the names of all VMs that can hold a lease, it is as soon as each of them
// has reported or restarted. The leader therefore stores the name of a VM before it grants to it for the first time:
//
//   - A record holds the names that were added. The VM is admitted when a call to the store that began after the append has confirmed
//     the leadership. A later leader then claims leadership after the append, and reads the name.
//   - At the start of its term a leader appends a record and then reads all of them. Records are only removed by appends that name the
//     end of the topic, by a leader that was confirmed after reading that end. Once the new leader's record is there, no former leader
//     can remove any.
//   - A store that is restored from an older copy loses names. In a later era than the first, the list therefore counts as complete only
//     if a leader has stated so in that era: with the record that replaces the others once all leases of former leaders have ended. The
//     write-back of the assignment begins a term, in which the leader stores the missing names again.

const (
	// topicQuotaNames is the topic of the names of VMs that may hold quotas. Each record has a key of its own.
	topicQuotaNames = "keyed.tarragonpoint-quotas"
	// quotaNamesInterval is how often a leader looks for VMs whose names are not stored.
	quotaNamesInterval = 50 * time.Millisecond
	// quotaNamesRetryDelay is the delay after a call to the store that failed.
	quotaNamesRetryDelay = 300 * time.Millisecond
)

// quotaNamesTerm is the work of one term of leadership on the stored names.
type quotaNamesTerm struct {
	term uint64
	// sequence distinguishes the keys of this process.
	sequence int
	// isMarked is true once the term's own record is stored, and isRead once all records have been read after that.
	isMarked, isRead bool
	// added are names that were stored at storedAt and are not admitted yet.
	added    []string
	storedAt model.Instant
	// isReduced is true once the records hold only VMs that have reported in this term. listed is the listing on which that is based,
	// made at listedAt; nil before.
	isReduced bool
	listed    *platform.Page
	listedAt  model.Instant
}

// storeQuotaNames stores the names of VMs that are to get quotas while this VM is the leader, until ctx ends.
func (g *gateway) storeQuotaNames(ctx context.Context) {
	state := &quotaNamesTerm{}
	for ctx.Err() == nil {
		sleep(ctx, quotaNamesInterval)
		config := g.state.config.Load()
		if !g.controller.isLeader.Load() || config == nil || config.Tenants.Empty() {
			continue
		}
		if term := g.hub.QuotaTerm(); term != state.term {
			state = &quotaNamesTerm{term: term, sequence: state.sequence}
		}
		if err := g.stepQuotaNames(ctx, state); err != nil && ctx.Err() == nil {
			g.log.Part(logging.Platform).Event("storing the VMs that may hold quotas failed", logging.ErrorType(err),
				logging.SystemError(err))
			sleep(ctx, quotaNamesRetryDelay)
		}
	}
}

// stepQuotaNames takes the next step of a term.
func (g *gateway) stepQuotaNames(ctx context.Context, state *quotaNamesTerm) error {
	if !state.isMarked {
		if err := g.appendQuotaNames(ctx, state, nil); err != nil {
			return err
		}
		state.isMarked = true
	}
	if !state.isRead {
		page, err := g.listQuotaNames(ctx)
		if err != nil {
			return err
		}
		names, isComplete := decodeQuotaNames(page.Records)
		isComplete = isComplete && hasAllQuotaNames(page)
		g.hub.AwaitQuotaNames(state.term, names, isComplete)
		g.log.Part(logging.Peer).Event("leader knows the VMs that may hold quotas", logging.Count(len(names)),
			logging.State(strconv.FormatBool(isComplete)))
		state.isRead = true
	}
	if len(state.added) > 0 {
		if g.confirmedSince(state.storedAt) {
			g.hub.AdmitQuotaNames(state.term, state.added)
			state.added = nil
		}
		return nil
	}
	if wanted := g.hub.WantedQuotaNames(state.term); len(wanted) > 0 {
		if err := g.appendQuotaNames(ctx, state, wanted); err != nil {
			return err
		}
		state.added, state.storedAt = wanted, g.clock.Now()
		return nil
	}
	return g.reduceQuotaNames(ctx, state)
}

// confirmedSince reports whether a call to the store that began after an instant has confirmed that this VM is the leader.
func (g *gateway) confirmedSince(at model.Instant) bool {
	f := g.follower(topicAssignment)
	f.mu.Lock()
	newestAt := f.newestAt
	f.mu.Unlock()
	return newestAt > at && g.leadershipConfirmed(g.clock.Now())
}

// reduceQuotaNames replaces all records by one that holds the VMs that have reported in this term, once no other VM can hold a lease.
func (g *gateway) reduceQuotaNames(ctx context.Context, state *quotaNamesTerm) error {
	if state.isReduced {
		return nil
	}
	if state.listed == nil {
		names, isSettled := g.hub.ReduceQuotaNames(state.term)
		if !isSettled {
			return nil
		}
		page, err := g.listQuotaNames(ctx)
		if err != nil {
			return err
		}
		// Names are stored in order, so the record that replaces the others is the first write.
		state.listed, state.listedAt, state.added = &page, g.clock.Now(), nil
		key := g.quotaNamesKey(state) + completeSuffix(model.EraOf(page.End))
		state.listed.Records = append([]platform.Record{{Key: key, Value: encodeQuotaNames(names)}}, page.Records...)
		return nil
	}
	// The list may be that of a later era than the term, whose first table confirms the leadership in the next term.
	if !g.confirmedSince(state.listedAt) || g.hub.QuotaTerm() != state.term {
		return nil
	}
	listed := state.listed
	state.listed = nil
	end := listed.Next
	for i, record := range listed.Records {
		value := record.Value
		if i > 0 && len(value) == 0 {
			continue
		}
		if i > 0 {
			value = nil
		}
		var err error
		end, err = g.store.Append(ctx, topicQuotaNames, end, record.Key, value)
		g.metrics.storeCall("append-quotas", err)
		if err != nil {
			return err
		}
	}
	state.isReduced = true
	return nil
}

func (g *gateway) quotaNamesKey(state *quotaNamesTerm) string {
	state.sequence++
	return g.controller.self + "/" + strconv.Itoa(state.sequence)
}

// completeSuffix returns the end of the key of a record that states that the list has been complete in an era. It is empty for era 0, in
// which nothing has been lost.
func completeSuffix(era uint64) string {
	if era == 0 {
		return ""
	}
	return "/complete-in-era/" + strconv.FormatUint(era, 10)
}

// hasAllQuotaNames reports whether a list holds all names that leaders have stored, also those of earlier eras.
func hasAllQuotaNames(page platform.Page) bool {
	suffix := completeSuffix(model.EraOf(page.End))
	return suffix == "" || slices.ContainsFunc(page.Records, func(record platform.Record) bool {
		return len(record.Value) > 0 && strings.HasSuffix(record.Key, suffix)
	})
}

// appendQuotaNames stores names under a new key, as an append whose response was lost may be executed late.
func (g *gateway) appendQuotaNames(ctx context.Context, state *quotaNamesTerm, names []string) error {
	record := platform.Record{Key: g.quotaNamesKey(state), Value: encodeQuotaNames(names)}
	_, err := g.store.AppendKeyed(ctx, topicQuotaNames, []platform.Record{record})
	g.metrics.storeCall("append-quotas", err)
	return err
}

func (g *gateway) listQuotaNames(ctx context.Context) (platform.Page, error) {
	page, err := g.store.Newest(ctx, topicQuotaNames)
	g.metrics.storeCall("list-quotas", err)
	return page, err
}

func encodeQuotaNames(names []string) []byte {
	slices.Sort(names)
	// A list of strings can always be encoded.
	raw, _ := cbor.Marshal(names)
	return raw
}

// decodeQuotaNames returns the names in all records. It returns false if a record cannot be decoded, so that there may be others.
func decodeQuotaNames(records []platform.Record) ([]string, bool) {
	known, isComplete := map[string]bool{}, true
	var names []string
	for _, record := range records {
		if len(record.Value) == 0 {
			continue
		}
		var list []string
		if err := cbor.Unmarshal(record.Value, &list); err != nil {
			isComplete = false
			continue
		}
		for _, name := range list {
			if !known[name] {
				known[name] = true
				names = append(names, name)
			}
		}
	}
	return names, isComplete
}
