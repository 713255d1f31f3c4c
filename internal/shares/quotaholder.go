package shares

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// quotaIdleTime is how long a VM remembers a tenant without requests of which it holds nothing.
	quotaIdleTime = time.Minute
	// quotaFarAbove is the number of requests in a row without a token from which a tenant counts as far above its limit.
	quotaFarAbove = 16
)

// QuotaHolder is a VM's side: the parts of the tenants' limits that it holds. It is safe for concurrent use.
type QuotaHolder struct {
	mu      sync.Mutex
	bounds  QuotaBounds
	started uint64
	buckets map[string]*heldQuota
	// number is that of the last request, sentAt when it was sent, and isPending is true until it is answered.
	number    uint64
	sentAt    model.Instant
	isPending bool
	// term and applied are those of the last answer that renewed the lease.
	term, applied uint64
	// mustRestate is true until a full request has been answered.
	mustRestate bool
	leaseUntil  model.Instant
}

// heldQuota is a VM's part of the limit of one tenant.
type heldQuota struct {
	quotaBucket
	// limit is that of the last request of the tenant.
	limit QuotaLimit
	// onDemand is the number of tokens for waiting requests, which may be used until onDemandUntil, and waiting the number of requests
	// that found none and have not given up.
	onDemand      int
	onDemandUntil model.Instant
	waiting       int
	requests      uint32
	returned      float64
	// missedSince counts the requests that found no token since the last report, and askedBy is the number of the last request to
	// the leader that was sent after such a request.
	missedSince uint32
	askedBy     uint64
	// futileUntil is until when asking for tokens is known to bring none.
	futileUntil model.Instant
	// missed counts the requests in a row that found no token.
	missed int
	usedAt model.Instant
}

// QuotaVerdict is the decision on a request.
type QuotaVerdict struct {
	// Admitted is true if a token was taken.
	Admitted bool
	// Leased is true if the VM holds a valid lease. Otherwise it cannot tell whether the request is below the limit.
	Leased bool
	// Wait is the time until the VM's bucket has the next token; 0 if it holds no part of the limit.
	Wait time.Duration
	// Ask is true if a report that is sent now may bring tokens, and Asked if the answer to one is expected. Otherwise AskIn is the
	// time until a report may be sent that may bring tokens.
	Ask, Asked bool
	AskIn      time.Duration
}

// MayCome reports whether the request may get a token within some time.
func (v QuotaVerdict) MayCome(within time.Duration) bool {
	return !v.Leased || v.Ask || v.Asked || v.AskIn < within || v.Wait > 0 && v.Wait <= within
}

// Next returns the time after which a token may be there or the VM may ask for one, of at most some time.
func (v QuotaVerdict) Next(within time.Duration) time.Duration {
	if v.Wait > 0 {
		within = min(within, v.Wait)
	}
	if !v.Ask && !v.Asked {
		within = min(within, v.AskIn)
	}
	return within
}

// NewQuotaHolder returns a holder of nothing. started orders the incarnations of the VM.
func NewQuotaHolder(bounds QuotaBounds, started uint64) *QuotaHolder {
	return &QuotaHolder{bounds: bounds, started: started, buckets: map[string]*heldQuota{}, mustRestate: true}
}

// expire drops everything once the lease has ended. The caller must hold the mutex.
func (h *QuotaHolder) expire(now model.Instant) {
	if h.leaseUntil == 0 || now < h.leaseUntil {
		return
	}
	// The answer to a request from before counts what is dropped here.
	h.leaseUntil, h.mustRestate, h.isPending = 0, true, false
	for _, held := range h.buckets {
		held.quotaBucket, held.returned = quotaBucket{}, 0
	}
}

// use returns the part of a tenant, filled up. The caller must hold the mutex.
func (h *QuotaHolder) use(now model.Instant, tenant string, limit QuotaLimit) *heldQuota {
	h.expire(now)
	held := h.buckets[tenant]
	if held == nil {
		held = &heldQuota{}
		h.buckets[tenant] = held
	}
	held.limit, held.usedAt = limit, now
	held.fill(now, h.bounds, limit)
	return held
}

// Arrived counts a request towards the demand of its tenant. It must be called once for each request.
func (h *QuotaHolder) Arrived(now model.Instant, tenant string, limit QuotaLimit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.use(now, tenant, limit).requests++
}

// Take takes a token for a request of a tenant. isFirst is false if the request has found none before.
func (h *QuotaHolder) Take(now model.Instant, tenant string, limit QuotaLimit, isFirst bool) QuotaVerdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.use(now, tenant, limit)
	if held.take(now) {
		held.missed = 0
		if !isFirst {
			held.waiting--
		}
		return QuotaVerdict{Admitted: true, Leased: true}
	}
	if isFirst {
		held.missed++
		held.waiting++
	}
	held.missedSince++
	return h.verdict(now, held)
}

// GiveUp states that a request of a tenant that found no token does not wait for one any more.
func (h *QuotaHolder) GiveUp(tenant string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held := h.buckets[tenant]; held != nil && held.waiting > 0 {
		held.waiting--
	}
}

// take takes a token if there is one.
func (q *heldQuota) take(now model.Instant) bool {
	if q.onDemand > 0 && now < q.onDemandUntil {
		q.onDemand--
		return true
	}
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

func (h *QuotaHolder) verdict(now model.Instant, held *heldQuota) QuotaVerdict {
	verdict := QuotaVerdict{
		Leased: h.leaseUntil != 0, Asked: h.waits(now),
		AskIn: max(held.futileUntil, h.sentAt.Add(quotaAskInterval)).Sub(now),
	}
	verdict.Ask = !verdict.Asked && verdict.AskIn <= 0
	if rate := held.rate(held.limit); rate > 0 {
		verdict.Wait = time.Duration((1 - held.tokens) / rate * float64(time.Second))
	}
	return verdict
}

// waits reports whether the answer to a request is still expected. The caller must hold the mutex.
func (h *QuotaHolder) waits(now model.Instant) bool {
	return h.isPending && now.Sub(h.sentAt) < quotaAnswerTimeout
}

// FarAbove reports whether a tenant is so far above its limit that its requests can be rejected on arrival: many in a row found no
// token, there is still none, and the leader has lately granted none.
func (h *QuotaHolder) FarAbove(now model.Instant, tenant string, limit QuotaLimit) (QuotaVerdict, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.use(now, tenant, limit)
	verdict := h.verdict(now, held)
	return verdict, verdict.Leased && held.tokens < 1 && held.missed >= quotaFarAbove && now < held.futileUntil
}

// Request returns the part of the next report that asks for quotas; nil while the answer to an earlier one is expected. It must be
// called immediately before the report is sent. isFirst is true for the first report over a link.
func (h *QuotaHolder) Request(now model.Instant, isFirst bool) *QuotaRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	if isFirst {
		h.mustRestate = true
	} else if h.waits(now) {
		return nil
	}
	h.number++
	h.sentAt, h.isPending = now, true
	request := &QuotaRequest{Number: h.number, Term: h.term, Applied: h.applied, Started: h.started, Full: h.mustRestate}
	for tenant, held := range h.buckets {
		holds := held.units != quotaUnits{}
		if !holds && held.waiting == 0 && now.Sub(held.usedAt) > quotaIdleTime {
			delete(h.buckets, tenant)
			continue
		}
		isCentral := h.bounds.isCentral(held.limit)
		if held.requests == 0 && held.missedSince == 0 && (!isCentral || held.waiting == 0) && (!h.mustRestate || !holds) {
			continue
		}
		request.Tenants = append(request.Tenants, h.report(now, tenant, held))
	}
	return request
}

// report returns what the next request says of a tenant. The caller must hold the mutex.
func (h *QuotaHolder) report(now model.Instant, tenant string, held *heldQuota) QuotaUse {
	held.fill(now, h.bounds, held.limit)
	use := QuotaUse{
		Tenant: tenant, Requests: held.requests, Missed: held.missedSince, Tokens: uint32(held.tokens), Returned: uint32(held.returned),
	}
	if h.bounds.isCentral(held.limit) {
		use.Missed = uint32(held.waiting)
	}
	if h.mustRestate {
		use.Rate, use.Burst = held.units.rate, held.units.burst
	}
	if use.Missed > 0 {
		held.askedBy = h.number
	}
	held.requests, held.returned, held.missedSince = 0, held.returned-float64(use.Returned), 0
	return use
}

// Apply applies an answer. It returns true if another report should be sent at once, because the leader waits for
// it.
func (h *QuotaHolder) Apply(now model.Instant, answer QuotaAnswer) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	if answer.Number != h.number || !h.isPending {
		return false
	}
	h.isPending = false
	parts := h.takeOnDemand(now, answer.Parts)
	if answer.Restate {
		h.term, h.mustRestate = answer.Term, true
		return true
	}
	until := h.sentAt.Add(LeaseTTL)
	if !answer.Renewed || now >= until {
		h.noteFutile(now, answer.Parts)
		return false
	}
	h.term, h.applied, h.leaseUntil, h.mustRestate = answer.Term, answer.Number, until, false
	for _, part := range parts {
		if now.Sub(h.sentAt) > quotaTokenFlight {
			part.Tokens = 0
		}
		h.applyPart(now, part)
	}
	h.noteFutile(now, answer.Parts)
	return answer.Confirm
}

// takeOnDemand takes the tokens for waiting requests out of the parts of an answer, and returns the others. The caller must hold the
// mutex.
func (h *QuotaHolder) takeOnDemand(now model.Instant, parts []QuotaPart) []QuotaPart {
	var others []QuotaPart
	for _, part := range parts {
		if part.OnDemand == 0 {
			others = append(others, part)
			continue
		}
		held := h.buckets[part.Tenant]
		if held == nil {
			continue
		}
		if now >= held.onDemandUntil {
			held.onDemand = 0
		}
		// Tokens of an earlier answer that are left end as early as they would have.
		held.onDemand += int(part.OnDemand)
		if until := h.sentAt.Add(onDemandTokenLife); held.onDemand == int(part.OnDemand) || until < held.onDemandUntil {
			held.onDemandUntil = until
		}
	}
	return others
}

// noteFutile notes which tenants need tokens and got none.
func (h *QuotaHolder) noteFutile(now model.Instant, parts []QuotaPart) {
	got := map[string]bool{}
	for _, part := range parts {
		got[part.Tenant] = part.Tokens >= 1 || part.OnDemand > 0
	}
	for tenant, held := range h.buckets {
		if !got[tenant] && held.askedBy == h.number {
			held.futileUntil = now.Add(quotaFutileInterval)
		}
	}
}

func (h *QuotaHolder) applyPart(now model.Instant, part QuotaPart) {
	held := h.buckets[part.Tenant]
	if held == nil {
		held = &heldQuota{usedAt: now}
		h.buckets[part.Tenant] = held
	}
	held.fill(now, h.bounds, held.limit)
	held.units = quotaUnits{rate: min(part.Rate, QuotaWhole), burst: min(part.Burst, QuotaWhole)}
	capacity := held.capacity(h.bounds, held.limit)
	// The leader raises its own capacity by what this one is lowered by only when the next request confirms that, which also returns the
	// tokens. Granted tokens that find no room are dropped, as the leader's bucket may have filled up since.
	if above := held.tokens - capacity; above > 0 {
		held.returned += above
		held.tokens -= above
	}
	held.tokens = min(held.tokens+max(0, float64(part.Tokens)), capacity)
}

// LeaseLeft returns for how long the lease of all parts is still valid; 0 if there is none.
func (h *QuotaHolder) LeaseLeft(now model.Instant) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.leaseUntil.Sub(now))
}

// Parts returns the part of each tenant's rate that the VM holds, from 0 to 1, for tenants of which it holds one.
func (h *QuotaHolder) Parts(now model.Instant) map[string]float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	parts := map[string]float64{}
	for tenant, held := range h.buckets {
		if held.units.rate > 0 {
			parts[tenant] = float64(held.units.rate) / QuotaWhole
		}
	}
	return parts
}

// Held returns the part of a tenant's rate that the VM holds, from 0 to 1.
func (h *QuotaHolder) Held(now model.Instant, tenant string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	if held := h.buckets[tenant]; held != nil {
		return float64(held.units.rate) / QuotaWhole
	}
	return 0
}
