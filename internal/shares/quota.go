package shares

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// QuotaWhole is the number of units into which the rate and the capacity of each tenant are divided. Units are integers, so
	// that sums are exact.
	QuotaWhole = 1 << 20
	// quotaSlackShare is the share of the tolerated excess that is added to the capacity of the token buckets, so that small
	// fractions hold whole tokens. Of the rest, at a burst of one second's rate and an excess of 10 %, 0.1 s of the rate cover clocks
	// that are 2 % fast, 0.25 s tokens under way (quotaTokenFlight), and 0.1 s and 15 requests the varying time from a request's
	// admission to its arrival at a target.
	quotaSlackShare = 0.25
	// quotaAnswerTimeout is how long a VM waits for the answer to a request before it sends another one. An answer that comes
	// later is ignored. Answers take a few milliseconds; the link fails without any for 1.5 s.
	quotaAnswerTimeout = time.Second
	// quotaTokenFlight is the age of a request from which tokens in its answer are dropped. While tokens are under way, the buckets
	// at both ends fill up, so this bounds by how much the tokens exceed the capacity: 0.25 s of the rate.
	quotaTokenFlight = 250 * time.Millisecond
	// DefaultCentralRate is the rate of a limit, in requests per second, below which VMs hold no parts of it. Parts of a limit that is small
	// beside the number of VMs lie where the next request does not arrive, and a new leader has to wait until those of silent VMs have
	// ended. Above it, the round trips for each request would cost the leader too much.
	DefaultCentralRate = 200.0
	// onDemandTokenLife is how long a VM may use tokens that it got for waiting requests, from when it asked for them. It covers a
	// round trip between regions and the delay of a busy VM. With the varying time until a request arrives, it uses up less than
	// the tolerated excess.
	onDemandTokenLife = 300 * time.Millisecond
	// quotaAskInterval is the shortest time between two requests that a VM sends out of turn. It bounds them to 40 per second.
	quotaAskInterval = 25 * time.Millisecond
	// quotaFutileInterval is how long a VM asks for no tokens of a tenant after an answer that brought none. A tenant above its limit
	// causes up to 5 reports a second at each VM that it uses. At 500 ms, VMs beside a hot one got 4 % less of the limit.
	quotaFutileInterval = 200 * time.Millisecond
)

// QuotaBounds states by how much a tenant may exceed its limit in a window.
type QuotaBounds struct {
	// Window is the length of the window.
	Window time.Duration
	// Excess is the tolerated excess as a share of the limit, and Tolerance the number of requests tolerated beyond that.
	Excess, Tolerance float64
	// CentralRate is the rate, in requests per second, below which VMs hold no parts of a limit; see DefaultCentralRate. It is the same
	// at all VMs.
	CentralRate float64
}

// QuotaLimit is the limit of a tenant over all VMs.
type QuotaLimit struct {
	// Rate is in requests per second, and Burst in requests.
	Rate, Burst float64
}

// isCentral reports whether VMs hold no parts of a limit, but ask the leader for tokens for each request that waits.
func (b QuotaBounds) isCentral(limit QuotaLimit) bool { return limit.Rate < b.CentralRate }

// Capacity returns the number of tokens that all buckets of a tenant hold together at most, in requests.
func (b QuotaBounds) Capacity(limit QuotaLimit) float64 {
	return limit.Burst + quotaSlackShare*(b.Excess*(limit.Rate*b.Window.Seconds()+limit.Burst)+b.Tolerance)
}

// QuotaRequest is what a VM says of its quotas in a report to the leader. From when the VM sends it, the VM ignores answers to
// earlier ones. The leader therefore knows exactly what the VM holds.
type QuotaRequest struct {
	_ struct{} `cbor:",toarray"`
	// Number numbers the requests of a VM.
	Number uint64
	// Term is that of the last answer that the VM got; 0 before the first one.
	Term uint64
	// Applied is the number of the last request whose answer the VM applied.
	Applied uint64
	// Started orders the incarnations of a VM: that of a later start is higher.
	Started uint64
	// Full is true if Tenants lists all that the VM holds, with Rate and Burst.
	Full bool
	// Tenants lists the tenants that the VM has seen requests of since the last request.
	Tenants []QuotaUse
}

// QuotaUse is what a VM says of one tenant.
type QuotaUse struct {
	_      struct{} `cbor:",toarray"`
	Tenant string
	// Requests is the number of requests that arrived since the last request, whether they were admitted or not.
	Requests uint32
	// Missed is the number of times that a request found no token since then; for a central limit, the number of requests that wait
	// for a token.
	Missed uint32
	// Tokens is the number of tokens left, rounded down.
	Tokens uint32
	// Returned is the number of tokens that the VM gave up since the last request because its capacity was lowered.
	Returned uint32
	// Rate and Burst are the parts that the VM holds, in units of which there are QuotaWhole. They are 0 unless Full is set.
	Rate, Burst uint32
}

// QuotaAnswer is the leader's answer to a QuotaRequest.
type QuotaAnswer struct {
	_ struct{} `cbor:",toarray"`
	// Number is that of the answered request.
	Number uint64
	// Term identifies the term of the leader's leadership.
	Term uint64
	// Renewed is true if the VM's lease of all its parts is renewed.
	Renewed bool
	// Restate is true if the leader does not know what the VM holds. The next request must be full.
	Restate bool
	// Confirm is true if other VMs need what this answer takes from the VM, which should report again at once.
	Confirm bool
	// Parts lists the parts that change.
	Parts []QuotaPart
}

// QuotaPart is a VM's part of the limit of one tenant.
type QuotaPart struct {
	_      struct{} `cbor:",toarray"`
	Tenant string
	// Rate and Burst are the parts of the rate and of the capacity, in units of which there are QuotaWhole.
	Rate, Burst uint32
	// Tokens is the number of tokens that the VM gets in addition.
	Tokens float32
	// OnDemand is the number of tokens for requests that wait, which are valid for onDemandTokenLife. If it is not 0, the other fields but
	// Tenant do not apply.
	OnDemand uint32
}

// quotaUnits is a part of the rate and of the capacity of a tenant.
type quotaUnits struct{ rate, burst uint32 }

func (u quotaUnits) max(other quotaUnits) quotaUnits {
	return quotaUnits{rate: max(u.rate, other.rate), burst: max(u.burst, other.burst)}
}

func (u quotaUnits) min(other quotaUnits) quotaUnits {
	return quotaUnits{rate: min(u.rate, other.rate), burst: min(u.burst, other.burst)}
}

func (u quotaUnits) plus(other quotaUnits) quotaUnits {
	return quotaUnits{rate: u.rate + other.rate, burst: u.burst + other.burst}
}

// minus requires that no part of other exceeds that of u.
func (u quotaUnits) minus(other quotaUnits) quotaUnits {
	return quotaUnits{rate: u.rate - other.rate, burst: u.burst - other.burst}
}

// quotaBucket is a token bucket that holds a part of a tenant's limit.
type quotaBucket struct {
	units    quotaUnits
	tokens   float64
	filledAt model.Instant
}

// fill adds the tokens until an instant, and drops those above the capacity.
func (b *quotaBucket) fill(now model.Instant, bounds QuotaBounds, limit QuotaLimit) {
	if now > b.filledAt {
		b.tokens += now.Sub(b.filledAt).Seconds() * b.rate(limit)
		b.filledAt = now
	}
	b.tokens = min(b.tokens, b.capacity(bounds, limit))
}

// rate returns the tokens per second.
func (b *quotaBucket) rate(limit QuotaLimit) float64 {
	return float64(b.units.rate) / QuotaWhole * limit.Rate
}

func (b *quotaBucket) capacity(bounds QuotaBounds, limit QuotaLimit) float64 {
	return float64(b.units.burst) / QuotaWhole * bounds.Capacity(limit)
}
