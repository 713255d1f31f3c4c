package shares

import (
	"math"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// demandTime is the time over which the demand of a tenant at a VM is averaged. Shorter times follow the noise of tenants with
	// a few requests per second, longer ones the bursts too late.
	demandTime = 1500 * time.Millisecond
	// minDemandInterval is the shortest time between two reports from which a rate is derived.
	minDemandInterval = 50 * time.Millisecond
	// usualInterval is the time that the first report of a VM covers, as the leader assumes: that between two ordinary reports.
	usualInterval = 500 * time.Millisecond
	// usualHeadroom is the ratio of a VM's part to its demand that a new leader assumes.
	usualHeadroom = 1.5
	// idleDemand is the demand, in requests per second, below which a VM that reports no requests of a tenant gives up its part. A
	// VM with one request falls below it after 4 s.
	idleDemand = 0.05
	// rateReserve is the share of a tenant's rate that stays with the leader for requests that find no token at their VM. At 4 %,
	// a fifth of the first requests at a VM were rejected.
	rateReserve = 0.12
	// capacityReserve is the share of a tenant's capacity that stays with the leader for bursts at single VMs.
	capacityReserve = 0.25
	// minStandingDemand is the demand of a tenant at a VM, in requests per second, from which the VM holds a part between two
	// requests. Below it a bucket would be refilled too slowly for requests that arrive at random: with 0.35 requests per second
	// at each of 81 VMs, a third of the requests found no token while most tokens lay unused at other VMs.
	minStandingDemand = 1.0
	// maxSurplus is the largest multiple of what a VM wants that it gets while the limit allows it.
	maxSurplus = 1.5
	// raiseFrom and lowerFrom are the deviations from a VM's due part at which it changes. They bound the number of changes.
	raiseFrom, lowerFrom = 1.08, 1.25
	// lowerFromShort replaces lowerFrom for shortTime after a VM got less than its due part, or no token, because the others had the
	// rest.
	lowerFromShort = 1.05
	shortTime      = 2 * time.Second
	// quotaTenantTime is how long the leader remembers a tenant of which no VM holds a part.
	quotaTenantTime = time.Minute
)

// QuotaAllocator is the leader's side: it grants the parts of the tenants' limits. It is not safe for concurrent use.
//
// The parts that VMs may use at a time add up to no more than the whole, and so do the capacities of their buckets. Tokens are only
// created by buckets, of the VMs and of the leader, and only moved between them. In any window, the tokens taken are therefore no
// more than the capacity and what fills in at the whole rate:
//
//   - A VM's part counts as the larger of what it stated and what it was granted since, until its next request shows which it is.
//     A part that is lowered or returned is therefore free only when the VM is known to have given it up.
//   - The part of a silent VM is free when its lease has ended on any clock, and restTime later. Within that time, a leader that does
//     not know that it was replaced grants no part whose holder could have claimed it at its successor.
//   - A new leader counts all that is not claimed as held by VMs that it does not know, until all leases of its predecessors have
//     ended or all VMs that can hold one have reported.
type QuotaAllocator struct {
	bounds  QuotaBounds
	random  func() uint64
	limits  func(tenant string) (QuotaLimit, bool)
	tenants map[string]*quotaTenant
	// onDemand holds the leader's buckets of central limits, by tenant. onDemandFrom is when no token that a former leader granted for
	// waiting requests is valid any more.
	onDemand     map[string]*quotaBucket
	onDemandFrom model.Instant
	members      map[string]*quotaMember
	// incarnations holds the present incarnation of each VM by the name of the VM.
	incarnations map[string]string
	// ended lists incarnations that a later one has replaced, with the end of their leases.
	ended map[string]model.Instant
	// awaited lists the names of VMs that may hold parts of former leaders and have not reported; nil if they are not known.
	awaited map[string]bool
	term    uint64
	// assignableFrom is when all leases of former leaders have ended; 0 before the first term.
	assignableFrom  model.Instant
	isFirstTerm     bool
	latest, sweptAt model.Instant
	// fault breaks a rule, so that tests show that they notice it.
	fault quotaFault
}

// quotaFault is a rule that a test breaks.
type quotaFault uint8

const (
	noFault quotaFault = iota
	// faultFreeOnGrant frees a lowered part before the VM has given it up.
	faultFreeOnGrant
	// faultNoWait lets a new leader grant parts that former leaders may have granted.
	faultNoWait
	// faultFreeEarly frees the part of a silent VM before its lease has ended.
	faultFreeEarly
	// faultOnDemandNoWait grants tokens of central limits although tokens of a former leader are valid, and begins with full buckets.
	faultOnDemandNoWait
	// faultFullTokens fills the leader's bucket when a part becomes free.
	faultFullTokens
)

// quotaTenant is what the leader knows of a tenant.
type quotaTenant struct {
	// pool is the leader's bucket, which holds what no VM holds.
	pool quotaBucket
	// counted is the sum over all VMs, and unknown is what VMs may hold that this leader does not know.
	counted, unknown quotaUnits
	limit            QuotaLimit
	// wantedRate and wantedDepth are the sums of what VMs want, in requests per second and in tokens.
	wantedRate, wantedDepth float64
	shortUntil, usedAt      model.Instant
}

// quotaHolding is a VM's part of a tenant's limit.
type quotaHolding struct {
	// stated is what the VM is known to have held when it sent its last request, and granted what the answer to it grants.
	stated, granted quotaUnits
	// demand is in requests per second.
	demand                  float64
	wantedRate, wantedDepth float64
}

type quotaMember struct {
	name       string
	started    uint64
	number     uint64
	answeredAt model.Instant
	until      model.Instant
	holdings   map[string]*quotaHolding
}

// NewQuotaAllocator returns an allocator that grants nothing before Begin. limits returns the limit of a tenant in the newest
// configuration.
func NewQuotaAllocator(
	bounds QuotaBounds, random func() uint64, limits func(tenant string) (QuotaLimit, bool),
) *QuotaAllocator {
	return &QuotaAllocator{bounds: bounds, random: random, limits: limits}
}

// Begin starts a term of leadership; see Allocator.Begin.
func (a *QuotaAllocator) Begin(now model.Instant, hasPredecessor bool) {
	a.tenants, a.members, a.ended = map[string]*quotaTenant{}, map[string]*quotaMember{}, map[string]model.Instant{}
	a.incarnations, a.awaited, a.term, a.latest, a.sweptAt = map[string]string{}, nil, max(1, a.random()), now, now
	a.assignableFrom, a.isFirstTerm = now, !hasPredecessor
	a.onDemand, a.onDemandFrom = map[string]*quotaBucket{}, now
	if hasPredecessor && a.fault != faultNoWait {
		// The former leader, which may not know that it was replaced, grants tokens for ConfirmationTTL at most.
		a.onDemandFrom = now.Add(ConfirmationTTL + onDemandTokenLife + clockMargin)
		if a.fault == faultOnDemandNoWait {
			a.onDemandFrom = now
		}
		// As in Allocator.Begin. Without restTime a leader that does not know that it was replaced could grant what a VM has claimed
		// at its successor just before the VM's lease ended.
		a.assignableFrom = now.Add(ConfirmationTTL + LeaseTTL + clockMargin + restTime)
	}
}

// Await states the names of all VMs to which former leaders may have granted parts. Once each of them has reported in this term, or
// restarted, nobody else holds a part. It must be called after Begin, with names that were read after the term began.
func (a *QuotaAllocator) Await(now model.Instant, names []string) {
	a.awaited = map[string]bool{}
	for _, name := range names {
		a.awaited[name] = true
	}
	for _, m := range a.members {
		delete(a.awaited, m.name)
	}
	a.releaseUnknown(now)
}

// Settled reports whether nobody holds a part of a former leader any more that is not claimed.
func (a *QuotaAllocator) Settled(now model.Instant) bool {
	return a.assignableFrom != 0 && now >= a.assignableFrom
}

// releaseUnknown ends the wait for former leaders' leases if all VMs that can hold one have reported.
func (a *QuotaAllocator) releaseUnknown(now model.Instant) {
	if a.awaited != nil && len(a.awaited) == 0 && now < a.assignableFrom {
		a.assignableFrom = now
	}
}

// Renew renews the lease of an incarnation of a VM and answers its request; see Allocator.Renew. It returns nil for a request that
// needs no answer, because it is late.
func (a *QuotaAllocator) Renew(now model.Instant, name, vm string, request *QuotaRequest, claimable bool) *QuotaAnswer {
	if a.assignableFrom == 0 {
		return nil
	}
	now = max(now, a.latest)
	a.latest = now
	a.sweep(now)
	m := a.members[vm]
	if m != nil && request.Number <= m.number || a.isReplaced(vm, name, request) {
		return nil
	}
	isCurrent := request.Term == a.term
	if m == nil && !(request.Full && (claimable || isCurrent)) || m != nil && !request.Full && !isCurrent {
		return &QuotaAnswer{Number: request.Number, Term: a.term, Restate: true}
	}
	if m == nil {
		m = a.add(now, name, vm, request.Started)
		a.adopt(now, m, request)
	} else {
		a.settle(now, m, request)
	}
	return a.answer(now, m, request)
}

// OnDemand grants tokens of central limits for the requests that wait at a VM. The VM needs no lease for them, and its name need not be
// known to a next leader, as they are valid for onDemandTokenLife only. In any window a leader grants no more than the burst and what
// fills in at the rate until the window ends, and it begins with empty buckets after the tokens of its predecessor have ended.
func (a *QuotaAllocator) OnDemand(now model.Instant, request *QuotaRequest) []QuotaPart {
	now = max(now, a.latest)
	a.latest = now
	if a.assignableFrom == 0 || now < a.onDemandFrom {
		return nil
	}
	var parts []QuotaPart
	for _, use := range request.Tenants {
		limit, known := a.limits(use.Tenant)
		if !known || use.Missed == 0 || limit.Rate <= 0 || !a.bounds.isCentral(limit) {
			continue
		}
		if granted := a.onDemandBucket(now, use.Tenant, limit).grant(use.Missed); granted > 0 {
			parts = append(parts, QuotaPart{Tenant: use.Tenant, OnDemand: granted})
		}
	}
	return parts
}

// onDemandBucket returns the bucket of a central limit, filled up. It holds tokens up to the burst, at least one.
func (a *QuotaAllocator) onDemandBucket(now model.Instant, tenant string, limit QuotaLimit) *quotaBucket {
	bucket := a.onDemand[tenant]
	if bucket == nil {
		bucket = &quotaBucket{filledAt: a.onDemandFrom}
		if a.isFirstTerm || a.fault == faultOnDemandNoWait {
			bucket.tokens = limit.Burst
		}
		a.onDemand[tenant] = bucket
	}
	bucket.tokens = min(max(1, limit.Burst), bucket.tokens+now.Sub(bucket.filledAt).Seconds()*limit.Rate)
	bucket.filledAt = now
	return bucket
}

// grant takes up to a number of tokens from the bucket.
func (b *quotaBucket) grant(wanted uint32) uint32 {
	granted := min(wanted, uint32(b.tokens))
	b.tokens -= float64(granted)
	return granted
}

// isReplaced reports whether a request is that of an incarnation of a VM that has ended.
func (a *QuotaAllocator) isReplaced(vm, name string, request *QuotaRequest) bool {
	if _, ended := a.ended[vm]; ended {
		return true
	}
	present := a.incarnations[name]
	return present != "" && present != vm && a.members[present].started >= request.Started
}

// add adds an incarnation of a VM. The former one has ended, and what it held is free.
func (a *QuotaAllocator) add(now model.Instant, name, vm string, started uint64) *quotaMember {
	if former := a.incarnations[name]; former != "" {
		a.remove(now, former, a.members[former])
		a.ended[former] = now.Add(LeaseTTL + clockMargin + restTime)
	}
	m := &quotaMember{name: name, started: started, answeredAt: now.Add(-usualInterval), holdings: map[string]*quotaHolding{}}
	a.members[vm], a.incarnations[name] = m, vm
	return m
}

func (a *QuotaAllocator) remove(now model.Instant, vm string, m *quotaMember) {
	for tenant, holding := range m.holdings {
		a.drop(now, m, tenant, holding)
	}
	delete(a.members, vm)
	delete(a.incarnations, m.name)
}

// drop removes the part of a VM, which is free then.
func (a *QuotaAllocator) drop(now model.Instant, m *quotaMember, tenant string, holding *quotaHolding) {
	t := a.tenant(now, tenant)
	t.want(holding, 0, 0)
	a.hold(now, t, holding, quotaUnits{}, quotaUnits{})
	delete(m.holdings, tenant)
}

// sweep frees what silent VMs hold once their leases have ended, and forgets tenants and incarnations.
func (a *QuotaAllocator) sweep(now model.Instant) {
	if now.Sub(a.sweptAt) < sweepInterval {
		return
	}
	a.sweptAt = now
	rest := time.Duration(restTime)
	if a.fault == faultFreeEarly {
		rest = -LeaseTTL / 2
	}
	for vm, m := range a.members {
		if now >= m.until.Add(rest) {
			a.remove(now, vm, m)
		}
	}
	for vm, until := range a.ended {
		if now >= until {
			delete(a.ended, vm)
		}
	}
	for name, t := range a.tenants {
		a.refill(now, t)
		// No request has been admitted for longer than the window, so a tenant that is added again may start with all tokens.
		if t.counted == (quotaUnits{}) && t.unknown == (quotaUnits{}) && now.Sub(t.usedAt) > quotaTenantTime+a.bounds.Window {
			delete(a.tenants, name)
		}
	}
}

// tenant returns what is known of a tenant, with its pool filled up.
func (a *QuotaAllocator) tenant(now model.Instant, name string) *quotaTenant {
	t := a.tenants[name]
	if t == nil {
		t = &quotaTenant{unknown: quotaUnits{rate: QuotaWhole, burst: QuotaWhole}}
		t.pool.filledAt = min(now, a.assignableFrom)
		if a.isFirstTerm {
			t.pool.tokens = math.MaxFloat32
		}
		a.tenants[name] = t
	}
	t.limit, _ = a.limits(name)
	t.usedAt = now
	a.refill(now, t)
	return t
}

// refill fills the pool of a tenant, and adds to it what became known to be free.
func (a *QuotaAllocator) refill(now model.Instant, t *quotaTenant) {
	if t.unknown != (quotaUnits{}) && now >= a.assignableFrom {
		t.pool.fill(a.assignableFrom, a.bounds, t.limit)
		t.unknown = quotaUnits{}
		t.pool.units = t.free()
	}
	t.pool.fill(now, a.bounds, t.limit)
}

// free returns what no VM holds.
func (t *quotaTenant) free() quotaUnits {
	return quotaUnits{rate: QuotaWhole, burst: QuotaWhole}.minus(t.counted).minus(t.unknown)
}

// hold sets what a VM has stated and been granted. The pool of the tenant must be filled up.
func (a *QuotaAllocator) hold(now model.Instant, t *quotaTenant, holding *quotaHolding, stated, granted quotaUnits) {
	before, after := holding.stated.max(holding.granted), stated.max(granted)
	if a.fault == faultFreeOnGrant {
		before, after = holding.granted, granted
	}
	holding.stated, holding.granted = stated, granted
	t.counted = t.counted.minus(before).plus(after)
	t.pool.units = t.free()
	if a.fault == faultFullTokens && after.burst < before.burst {
		t.pool.tokens = math.MaxFloat32
	}
	t.pool.fill(now, a.bounds, t.limit)
}

// adopt takes over the parts that a VM got from a former leader.
func (a *QuotaAllocator) adopt(now model.Instant, m *quotaMember, request *QuotaRequest) {
	for _, use := range request.Tenants {
		if m.holdings[use.Tenant] != nil {
			continue
		}
		t := a.tenant(now, use.Tenant)
		claimed := quotaUnits{rate: use.Rate, burst: use.Burst}.min(t.unknown)
		t.unknown = t.unknown.minus(claimed)
		holding := &quotaHolding{demand: float64(claimed.rate) / QuotaWhole * t.limit.Rate / usualHeadroom}
		m.holdings[use.Tenant] = holding
		a.hold(now, t, holding, claimed, claimed)
	}
	delete(a.awaited, m.name)
	a.releaseUnknown(now)
}

// settle determines what a VM held when it sent a request: what the last answer granted if it applied that, and what it had before
// otherwise, as it ignores that answer from now on.
func (a *QuotaAllocator) settle(now model.Instant, m *quotaMember, request *QuotaRequest) {
	stated := map[string]quotaUnits{}
	for _, use := range request.Tenants {
		stated[use.Tenant] = quotaUnits{rate: use.Rate, burst: use.Burst}
	}
	for tenant, holding := range m.holdings {
		units := holding.stated
		if request.Applied == m.number {
			units = holding.granted
		}
		if request.Full {
			units = stated[tenant].min(holding.stated.max(holding.granted))
		}
		if units != holding.stated || units != holding.granted {
			a.hold(now, a.tenant(now, tenant), holding, units, units)
		}
	}
}

// answer renews the lease of a VM and adjusts its parts.
func (a *QuotaAllocator) answer(now model.Instant, m *quotaMember, request *QuotaRequest) *QuotaAnswer {
	answer := &QuotaAnswer{Number: request.Number, Term: a.term, Renewed: true}
	interval := max(minDemandInterval, now.Sub(m.answeredAt))
	m.number, m.answeredAt, m.until = request.Number, now, now.Add(LeaseTTL+clockMargin)
	uses := map[string]QuotaUse{}
	for _, use := range request.Tenants {
		uses[use.Tenant] = use
		if m.holdings[use.Tenant] == nil {
			m.holdings[use.Tenant] = &quotaHolding{}
		}
	}
	for tenant, holding := range m.holdings {
		use, isUsed := uses[tenant]
		t := a.tenant(now, tenant)
		t.pool.tokens += float64(use.Returned)
		t.pool.fill(now, a.bounds, t.limit)
		holding.observe(use.Requests, interval)
		if holding.demand < idleDemand && !isUsed {
			if holding.granted == (quotaUnits{}) {
				a.drop(now, m, tenant, holding)
				continue
			}
			holding.demand = 0
		}
		before := holding.granted
		tokens := a.adjust(now, t, holding, use, isUsed)
		told := quotaUnits{rate: use.Rate, burst: use.Burst}
		if holding.granted != before || tokens > 0 || request.Full && told != holding.granted {
			isLower := holding.granted.rate < before.rate || holding.granted.burst < before.burst
			answer.Confirm = answer.Confirm || isLower && (now < t.shortUntil || t.unknown != quotaUnits{})
			answer.Parts = append(answer.Parts, QuotaPart{
				Tenant: tenant, Rate: holding.granted.rate, Burst: holding.granted.burst, Tokens: tokens,
			})
		}
	}
	return answer
}

// observe counts requests towards the demand.
func (h *quotaHolding) observe(requests uint32, interval time.Duration) {
	weight := 1 - math.Exp(-interval.Seconds()/demandTime.Seconds())
	h.demand += weight * (float64(requests)/interval.Seconds() - h.demand)
}

// want replaces what a VM wants in the sums of its tenant.
func (t *quotaTenant) want(holding *quotaHolding, rate, depth float64) {
	t.wantedRate = max(0, t.wantedRate+rate-holding.wantedRate)
	t.wantedDepth = max(0, t.wantedDepth+depth-holding.wantedDepth)
	holding.wantedRate, holding.wantedDepth = rate, depth
}

// adjust brings a VM's part closer to what it is due, and returns the tokens that the VM gets.
func (a *QuotaAllocator) adjust(
	now model.Instant, t *quotaTenant, holding *quotaHolding, use QuotaUse, isUsed bool,
) float32 {
	if t.limit.Rate <= 0 && isUsed {
		// The VM has a configuration with another limit than the leader, for at most 3 s.
		return 0
	}
	due := a.due(t, holding, use)
	free := t.free()
	granted := holding.granted
	isShort := now < t.shortUntil || float64(free.rate) < QuotaWhole*rateReserve || float64(free.burst) < QuotaWhole*capacityReserve
	granted.rate = step(granted.rate, due.rate, free.rate, isShort)
	granted.burst = step(granted.burst, due.burst, free.burst, isShort)
	if holding.demand > 0 && (granted.rate < due.rate/2 || granted.burst < due.burst/2) {
		t.shortUntil = now.Add(shortTime)
	}
	capacity := a.bounds.Capacity(t.limit) / QuotaWhole
	// The tokens of a part leave the pool before its capacity shrinks.
	tokens := float32(0)
	if isUsed && !a.bounds.isCentral(t.limit) {
		left := float64(free.burst-min(free.burst, granted.burst-min(granted.burst, holding.granted.burst))) * capacity
		tokens = handOut(t, capacity*float64(granted.burst), left, use)
	}
	if granted != holding.granted {
		a.hold(now, t, holding, holding.stated, granted)
	}
	if use.Missed > 0 && tokens < 1 && !a.bounds.isCentral(t.limit) {
		t.shortUntil = now.Add(shortTime)
	}
	return tokens
}

// due returns the part that a VM is due: what it wants, scaled so that all VMs together leave the reserves.
func (a *QuotaAllocator) due(t *quotaTenant, holding *quotaHolding, use QuotaUse) quotaUnits {
	if t.limit.Rate <= 0 || holding.demand == 0 || a.bounds.isCentral(t.limit) {
		t.want(holding, 0, 0)
		return quotaUnits{}
	}
	capacity := a.bounds.Capacity(t.limit)
	if holding.demand < minStandingDemand {
		// The VM gets tokens for requests that wait, and gives the part back with its next report.
		t.want(holding, 0, 0)
		return quotaUnits{burst: uint32(QuotaWhole * min(1, 1.01*float64(use.Missed)/capacity))}
	}
	noise := math.Sqrt(holding.demand)
	// Requests of a tenant arrive at random, so that few per second vary by their square root.
	rate := 1.25*holding.demand + 1.5*noise
	depth := max(1+0.5*holding.demand+3*noise, float64(use.Requests))
	t.want(holding, rate, depth)
	// After a change of the leader, VMs that the leader does not know may hold a part. The others share the rest.
	rate *= min(maxSurplus, t.limit.Rate*known(t.unknown.rate)*(1-rateReserve)/t.wantedRate)
	depth *= min(maxSurplus, capacity*known(t.unknown.burst)*(1-capacityReserve)/t.wantedDepth)
	// A bucket that holds less than one token never admits a request.
	depth = max(depth, 1.01)
	return quotaUnits{
		rate:  uint32(QuotaWhole * min(1, rate/t.limit.Rate)),
		burst: uint32(QuotaWhole * min(1, depth/capacity)),
	}
}

// known returns the share of a limit that is not held by VMs that the leader does not know.
func known(unknown uint32) float64 { return 1 - float64(unknown)/QuotaWhole }

// step returns a part that is brought closer to the due one, by at most what is free.
func step(granted, due, free uint32, isShort bool) uint32 {
	lower := lowerFrom
	if isShort {
		lower = lowerFromShort
	}
	switch {
	case float64(due) > float64(granted)*raiseFrom:
		return min(due, granted+free)
	case due == 0, float64(granted) > float64(due)*lower:
		return due
	}
	return granted
}

// handOut moves tokens from the pool to a VM: those for which the pool has no room any more, and those that requests missed, but
// leaves half of them to others. capacity is that of the VM, and left that of the pool, in tokens.
func handOut(t *quotaTenant, capacity, left float64, use QuotaUse) float32 {
	tokens := t.pool.tokens - left
	if use.Missed > 0 && use.Tokens == 0 {
		tokens = max(tokens, 1, min(float64(use.Missed), t.pool.tokens/2))
	}
	given := float32(max(0, min(tokens, capacity-float64(use.Tokens), t.pool.tokens)))
	if float64(given) > t.pool.tokens {
		given = math.Nextafter32(given, 0)
	}
	t.pool.tokens -= float64(given)
	return given
}
