package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/shares"
	"github.com/tarragonpoint/tarragonpoint/internal/tenant"
)

const (
	// maxQuotaWait is how long a request waits for a token at most. A grant takes a few milliseconds within a region, and 25 ms
	// between regions.
	maxQuotaWait = 250 * time.Millisecond
	// maxQuotaWaitShare is the largest share of a request's time left that it waits for a token.
	maxQuotaWaitShare = 0.1
	// noPartRetryAfter is the retry delay sent to the caller of a request over its quota if the VM holds no part of the limit. It is
	// the time between two reports to the leader.
	noPartRetryAfter = 500 * time.Millisecond
	// noLeaseRetryAfter is the retry delay sent to callers while this VM holds no valid lease of quotas. VMs connect to a new leader
	// about every 0.3 s.
	noLeaseRetryAfter = time.Second
	// minQuotaSleep bounds how often a request that waits looks for a token.
	minQuotaSleep = 5 * time.Millisecond
)

// quotas are this VM's parts of the limits of tenants.
type quotas struct {
	holder *shares.QuotaHolder

	mu sync.Mutex
	// answered is closed when the leader's next answer is applied.
	answered chan struct{}
	// isLeased is whether the lease was valid when it was last logged.
	isLeased bool
}

// newQuotas returns nil if the settings have no quotas.
func newQuotas(settings Settings, started time.Time) *quotas {
	if settings.QuotaWindow == 0 {
		return nil
	}
	return &quotas{
		holder: shares.NewQuotaHolder(settings.quotaBounds(), uint64(started.UnixMicro())), answered: make(chan struct{}),
	}
}

// nextAnswer returns a channel that is closed when the leader's next answer is applied.
func (q *quotas) nextAnswer() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.answered
}

func (q *quotas) notify() {
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.answered)
	q.answered = make(chan struct{})
}

// setLeased notes whether the lease is valid. It returns true if that changed.
func (q *quotas) setLeased(isLeased bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	changed := q.isLeased != isLeased
	q.isLeased = isLeased
	return changed
}

// limitOf returns the limit of a tenant, and false if it has none.
func limitOf(t *tenant.Tenant) (shares.QuotaLimit, bool) {
	if t == nil || t.Rate <= 0 {
		return shares.QuotaLimit{}, false
	}
	return shares.QuotaLimit{Rate: t.Rate, Burst: t.Burst}, true
}

// quotaLimit returns the limit of a tenant in the newest configuration, and false if it has none.
func (g *gateway) quotaLimit(name string) (shares.QuotaLimit, bool) {
	config := g.state.config.Load()
	if config == nil {
		return shares.QuotaLimit{}, false
	}
	found, _ := config.Tenants.ByName(name)
	return limitOf(found)
}

// quotaRequest returns the part of a report that asks for quotas; nil if the deployment has none.
func (g *gateway) quotaRequest(now model.Instant, isFirst bool) *shares.QuotaRequest {
	config := g.state.config.Load()
	if g.quotas == nil || config == nil || config.Tenants.Empty() {
		return nil
	}
	return g.quotas.holder.Request(now, isFirst)
}

// applyQuotas applies the leader's answer to a request for quotas.
func (g *gateway) applyQuotas(answer *shares.QuotaAnswer) {
	if g.quotas == nil || answer == nil {
		return
	}
	now := g.clock.Now()
	if g.quotas.holder.Apply(now, *answer) {
		wake(g.reportNow)
	}
	g.logQuotaLease(now)
	g.quotas.notify()
}

// logQuotaLease logs if this VM's lease of quotas became valid or ended.
func (g *gateway) logQuotaLease(now model.Instant) {
	left := g.quotas.holder.LeaseLeft(now)
	if !g.quotas.setLeased(left > 0) {
		return
	}
	text := "lease of quotas ended"
	if left > 0 {
		text = "lease of quotas granted"
	}
	g.log.Part(logging.Peer).Event(text, logging.LeaseLeft(left), logging.Name(g.leaderName()))
}

// checkQuota counts a request towards the demand of its tenant when it arrives. It returns the rejection of a request whose tenant is
// far above its limit.
func (g *gateway) checkQuota(j *job) (callerResponse, bool) {
	limit, limited := limitOf(j.tenant)
	if g.quotas == nil || !limited {
		return callerResponse{}, true
	}
	now := g.clock.Now()
	j.isDemand = true
	g.quotas.holder.Arrived(now, j.tenant.Name, limit)
	verdict, isFarAbove := g.quotas.holder.FarAbove(now, j.tenant.Name, limit)
	if !isFarAbove {
		return callerResponse{}, true
	}
	return g.rejectOverQuota(j, verdict, "tenant is far above its quota"), false
}

// admitQuota takes a token for a request immediately before its first attempt, and waits a bounded time for one. It returns the rejection
// of a request that gets none.
func (g *gateway) admitQuota(ctx context.Context, j *job) (callerResponse, bool) {
	if g.quotas == nil || j.isAdmitted {
		return callerResponse{}, true
	}
	started := g.clock.Now()
	wait := min(maxQuotaWait, time.Duration(float64(j.timeLeft(started))*maxQuotaWaitShare))
	for isFirst := true; ; isFirst = false {
		limit, limited := limitOf(j.tenant)
		if !limited {
			if !isFirst {
				g.quotas.holder.GiveUp(j.tenant.Name)
			}
			return callerResponse{}, true
		}
		now := g.clock.Now()
		if !j.isDemand {
			// The configuration in force at its arrival had no limit for the tenant.
			j.isDemand = true
			g.quotas.holder.Arrived(now, j.tenant.Name, limit)
		}
		// The channel is taken first, so that no answer is missed.
		answered := g.quotas.nextAnswer()
		verdict := g.quotas.holder.Take(now, j.tenant.Name, limit, isFirst)
		left := started.Add(wait).Sub(now)
		switch {
		case verdict.Admitted:
			j.isAdmitted = true
			g.metrics.quota(j.tenant.Name, quotaAdmitted)
			return callerResponse{}, true
		case left <= 0 || !verdict.MayCome(left):
			g.quotas.holder.GiveUp(j.tenant.Name)
			return g.rejectOverQuota(j, verdict, "tenant is over its quota"), false
		case verdict.Ask:
			wake(g.reportNow)
		}
		if !g.await(ctx, answered, max(minQuotaSleep, verdict.Next(left))) {
			g.quotas.holder.GiveUp(j.tenant.Name)
			return reject(result.DeadlinePassed, "caller disconnected", 0), false
		}
	}
}

// rejectOverQuota returns the response to a request that gets no token.
func (g *gateway) rejectOverQuota(j *job, verdict shares.QuotaVerdict, reason string) callerResponse {
	if !verdict.Leased {
		g.metrics.quota(j.tenant.Name, quotaNoLease)
		g.logQuotaLease(g.clock.Now())
		return reject(result.NotReady, "no lease of the tenant's quota", noLeaseRetryAfter)
	}
	g.metrics.quota(j.tenant.Name, quotaRejected)
	retryAfter := verdict.Wait
	if retryAfter <= 0 {
		retryAfter = noPartRetryAfter
	}
	return reject(result.OverQuota, reason, retryAfter)
}

// reportQuotas updates the gauges of the parts that this VM holds.
func (g *gateway) reportQuotas() {
	config := g.state.config.Load()
	if g.quotas == nil || config == nil || config.Tenants.Empty() {
		return
	}
	now := g.clock.Now()
	g.logQuotaLease(now)
	g.metrics.quotaParts(g.quotas.holder.Parts(now))
}
