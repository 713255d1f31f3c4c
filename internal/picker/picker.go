// Package picker chooses the target of a request by the expected response time of each target.
//
// Targets have few slots that all VMs share without a common queue, differ in speed, and are slowed temporarily by
// other workloads on the same machine. The estimate combines this VM's own requests in flight, which it knows without
// delay, with the load reports in the targets' responses, which are accurate but delayed. The package does no I/O;
// clock and randomness are passed in.
package picker

import (
	"math"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// loadTimeConstant is the time constant with which the weight of a load report decays. It matches the duration of
	// requests, a few hundred milliseconds.
	loadTimeConstant = 400 * time.Millisecond
	// slownessTimeConstant is the time constant with which the weight of a slowness report decays. Slowness changes
	// several times a second.
	slownessTimeConstant = 300 * time.Millisecond
	// meanTimeConstant is the time constant with which the mean load of a zone decays, so that a zone that seemed full and
	// got no requests since is tried again after some seconds.
	meanTimeConstant = 5 * time.Second
	// meanGain is the weight of a new report in the mean load of its zone.
	meanGain = 0.05
	// typicalSlowness is the mean slowness of a machine that runs other workloads too.
	typicalSlowness = 1.2
	// targetSlownessGain is the weight of a new observation in a target's relative work time.
	targetSlownessGain = 0.15
	// workTimeConstant is the time constant with which the weight of the observations of a route's work time decays. A VM that
	// rejects all requests of a route, because they once took long, observes none and tries it again after some seconds.
	workTimeConstant = 10 * time.Second
	// maxWorkWeight is the largest weight of the earlier observations, in observations.
	maxWorkWeight = 19.0
	// initialWorkWeight is the weight of initialWork, in observations. A VM of a large deployment sees few responses of a route.
	initialWorkWeight = 0.5
	// failureGain is the weight of a new outcome in a target's failure rate.
	failureGain = 0.2
	// failureTimeConstant is the time constant with which a failure rate decays while there are no new outcomes.
	failureTimeConstant = 3 * time.Second
	// maxFailurePenalty bounds the factor by which failures increase the expected time.
	maxFailurePenalty = 6.0
	// fullLoadSlowdown is the fraction by which the work time of a target increases when all its slots are busy.
	fullLoadSlowdown = 0.2
	// initialWork is the work time assumed for a route without observations.
	initialWork = 200 * time.Millisecond
	// jitter is the largest relative random increase of a target's cost. It spreads the choices of VMs that have the same
	// load reports.
	jitter = 0.1
	// zoneRoundTrip and regionRoundTrip are the network round trips to a target in another zone or region.
	zoneRoundTrip   = 3 * time.Millisecond
	regionRoundTrip = 26 * time.Millisecond
	// regionPreference is the expected gain above which a target in another region is preferred. It is large because the
	// link between the regions has little bandwidth and is billed by volume.
	regionPreference = 250 * time.Millisecond
	// connectCost is the expected gain above which a target is preferred to which a connection has to be opened. Opening one
	// takes a round trip and occupies a slot of the target.
	connectCost = 100 * time.Millisecond
	// overdueRatio is the multiple of its expected time that a request may be in flight before its target counts as
	// slower.
	overdueRatio = 2.5
)

// Request describes a request for which a target is chosen.
type Request struct {
	Route string
	// Zone and Region are those of this VM.
	Zone   model.Zone
	Region model.Region
	// IsConnected reports whether there is an idle connection to an address; nil if that is not known.
	IsConnected func(address string) bool
	// IsTrial is true for a request that is sent although its estimate is too high, see Trial.
	IsTrial bool
}

// Report is a load report of a target. Slowness is the current work time on its machine relative to normal.
type Report struct {
	Running  int
	Waiting  int
	Slots    int
	Slowness float64
}

// Result is the outcome of a request at a target.
type Result struct {
	// Responded is true if the target ran the request and responded.
	Responded bool
	// Failed is true if the request failed at the target or the target did not accept it.
	Failed bool
	// Canceled is true if the request ended because its caller left. It counts as failed only if its response was overdue.
	Canceled bool
	Report   *Report
}

// Ticket represents a request in flight.
type Ticket struct {
	incarnation fleet.Incarnation
	route       string
	serviceZone serviceZone
	started     model.Instant
	expected    time.Duration
	isTrial     bool
}

// Expected returns the response time that was estimated when the request was sent.
func (t *Ticket) Expected() time.Duration { return t.expected }

// stats holds the load, speed and failure statistics of one target.
type stats struct {
	inFlight        []*Ticket
	others          float64
	machineSlowness float64
	reportedAt      model.Instant
	hasReport       bool
	slots           int
	targetSlowness  float64
	failures        float64
	failedAt        model.Instant
	// heardAt is when the last response or load report arrived; 0 if there was none.
	heardAt  model.Instant
	lastUsed model.Instant
}

// Picker tracks the load of targets as known to one VM. It is safe for concurrent use and has one lock.
type Picker struct {
	random func() float64

	mu         sync.Mutex
	targets    map[fleet.Incarnation]*stats
	work       map[string]workMean
	meanOthers map[serviceZone]zoneMean
	trials     map[trialKey]*trialState
}

// serviceZone identifies the targets of a service in one zone. Load is tracked for each zone separately, because the
// callers of one region may fill its targets while those of another have free capacity.
type serviceZone struct {
	service model.Service
	zone    model.Zone
}

// zoneMean is the mean number of other VMs' requests at each target of a serviceZone.
type zoneMean struct {
	others float64
	at     model.Instant
}

// workMean is the mean of the observed work times of a route, in nanoseconds, with the weight of the observations.
type workMean struct {
	mean, weight float64
	at           model.Instant
}

func (w *workMean) weightAt(now model.Instant) float64 {
	return w.weight * decay(now.Sub(w.at), workTimeConstant)
}

// expected returns the work time that is expected of the next request, in nanoseconds.
func (w *workMean) expected(now model.Instant) float64 {
	weight := w.weightAt(now)
	return (w.mean*weight + float64(initialWork)*initialWorkWeight) / (weight + initialWorkWeight)
}

// observe adds an observation.
func (w *workMean) observe(now model.Instant, work float64) {
	weight := w.weightAt(now)
	w.mean += (work - w.mean) / (weight + 1)
	w.weight, w.at = min(maxWorkWeight, weight+1), now
}

// New returns a picker. random returns numbers in [0, 1).
func New(random func() float64) *Picker {
	return &Picker{
		random: random, targets: map[fleet.Incarnation]*stats{}, work: map[string]workMean{},
		meanOthers: map[serviceZone]zoneMean{}, trials: map[trialKey]*trialState{},
	}
}

// Estimate is the expected response time of a target, with the values that it is based on.
type Estimate struct {
	Total time.Duration
	// Own is the number of this VM's requests in flight to the target, Others the number of other VMs'.
	Own    int
	Others float64
	// ReportAge is the age of the target's last load report; negative if there is none.
	ReportAge time.Duration
	// TargetSlowness is the work time of the target relative to normal, MachineSlowness that of its machine.
	TargetSlowness  float64
	MachineSlowness float64
	// FailureFactor and OverdueFactor are the factors by which failures and overdue responses increase Total.
	FailureFactor float64
	OverdueFactor float64
	// IsTrial is Request.IsTrial of the request that is to be sent.
	IsTrial bool
}

// HasFreeSlot reports whether a target with a number of slots is expected to start a request at once.
func (e *Estimate) HasFreeSlot(slots int) bool { return float64(e.Own)+e.Others+1 <= float64(slots) }

// Choice is a chosen target, as the index in the list of targets, with its estimate.
type Choice struct {
	Index    int
	Estimate Estimate
}

// Choose returns the target with the lowest expected response time, after jitter and the preference for the local
// region. It returns false if targets is empty.
func (p *Picker) Choose(now model.Instant, request Request, targets []*fleet.Target) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := Choice{Index: -1}
	bestCost := math.Inf(1)
	for i := range targets {
		estimate := p.estimate(now, request, targets[i])
		cost := float64(estimate.Total) * (1 + jitter*p.random())
		if targets[i].Region != request.Region {
			cost += float64(regionPreference)
		}
		if request.IsConnected != nil && !request.IsConnected(targets[i].Address) {
			cost += float64(connectCost)
		}
		if cost < bestCost {
			bestCost = cost
			best = Choice{Index: i, Estimate: estimate}
		}
	}
	return best, best.Index >= 0
}

// Estimate returns the expected response time of a target for a request.
func (p *Picker) Estimate(now model.Instant, request Request, target *fleet.Target) Estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.estimate(now, request, target)
}

func (p *Picker) estimate(now model.Instant, request Request, target *fleet.Target) Estimate {
	s := p.stats(now, target)
	e := Estimate{
		Own: len(s.inFlight), Others: p.othersAt(now, serviceZoneOf(target), s), ReportAge: -1,
		TargetSlowness: s.targetSlowness, MachineSlowness: p.slownessAt(now, s),
		FailureFactor: p.failurePenalty(now, s), OverdueFactor: p.overduePenalty(now, s),
	}
	if s.hasReport {
		e.ReportAge = now.Sub(s.reportedAt)
	}
	work := p.routeWork(now, request.Route) * e.TargetSlowness * e.MachineSlowness
	occupied := float64(e.Own) + e.Others
	slots := float64(max(1, s.slots))
	work *= 1 + fullLoadSlowdown*min(1, occupied/slots)
	wait := 0.0
	if occupied >= slots {
		wait = (occupied - slots + 1) / slots * work
	}
	e.Total = time.Duration((wait+work)*e.FailureFactor*e.OverdueFactor) + roundTrip(request, target)
	return e
}

func roundTrip(request Request, target *fleet.Target) time.Duration {
	switch {
	case target.Zone == request.Zone:
		return 0
	case target.Region == request.Region:
		return zoneRoundTrip
	}
	return regionRoundTrip
}

func (p *Picker) stats(now model.Instant, target *fleet.Target) *stats {
	incarnation := target.Incarnation()
	s := p.targets[incarnation]
	if s == nil {
		s = &stats{targetSlowness: 1, machineSlowness: typicalSlowness}
		p.targets[incarnation] = s
	}
	s.slots = target.Slots
	s.lastUsed = now
	return s
}

func (p *Picker) routeWork(now model.Instant, route string) float64 {
	work := p.work[route]
	return work.expected(now)
}

// decay returns the remaining weight of a report of the given age.
func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(timeConstant))
}

func serviceZoneOf(target *fleet.Target) serviceZone {
	return serviceZone{service: target.Service, zone: target.Zone}
}

func (p *Picker) othersAt(now model.Instant, in serviceZone, s *stats) float64 {
	mean := p.meanAt(now, in)
	if !s.hasReport {
		return mean
	}
	weight := decay(now.Sub(s.reportedAt), loadTimeConstant)
	return s.others*weight + mean*(1-weight)
}

func (p *Picker) meanAt(now model.Instant, in serviceZone) float64 {
	mean := p.meanOthers[in]
	return mean.others * decay(now.Sub(mean.at), meanTimeConstant)
}

func (p *Picker) slownessAt(now model.Instant, s *stats) float64 {
	if !s.hasReport {
		return typicalSlowness
	}
	weight := decay(now.Sub(s.reportedAt), slownessTimeConstant)
	return s.machineSlowness*weight + typicalSlowness*(1-weight)
}

// failurePenalty returns the expected number of attempts until a target serves a request, at most maxFailurePenalty.
func (p *Picker) failurePenalty(now model.Instant, s *stats) float64 {
	rate := s.failures * decay(now.Sub(s.failedAt), failureTimeConstant)
	return min(maxFailurePenalty, 1/max(0.1, 1-rate))
}

// overduePenalty returns the factor by which overdue responses increase the expected time: the highest ratio of elapsed
// to expected time among the requests in flight above overdueRatio, or 1.
func (p *Picker) overduePenalty(now model.Instant, s *stats) float64 {
	highest := 1.0
	for _, ticket := range s.inFlight {
		if ratio := ticket.elapsedRatio(now); ratio > overdueRatio {
			highest = max(highest, ratio)
		}
	}
	return highest
}

// elapsedRatio returns the ratio of elapsed to expected time, and 0 if no time is expected.
func (t *Ticket) elapsedRatio(now model.Instant) float64 {
	if t.expected <= 0 {
		return 0
	}
	return float64(now.Sub(t.started)) / float64(t.expected)
}

// Begin records that a request is sent to a target. The caller must pass the ticket to End.
func (p *Picker) Begin(now model.Instant, request Request, target *fleet.Target) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	ticket := &Ticket{
		incarnation: target.Incarnation(), route: request.Route, serviceZone: serviceZoneOf(target), started: now,
		expected: p.estimate(now, request, target).Total, isTrial: request.IsTrial,
	}
	s := p.stats(now, target)
	s.inFlight = append(s.inFlight, ticket)
	if request.IsTrial {
		p.trial(request.Route, target.Service).inFlight = ticket
	}
	return ticket
}

// End records the outcome of a request and updates the estimates of its target and route.
func (p *Picker) End(now model.Instant, ticket *Ticket, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ticket.isTrial {
		p.endTrial(now, ticket, result.Responded)
	}
	s := p.targets[ticket.incarnation]
	if s == nil {
		return
	}
	if result.Responded || result.Report != nil {
		s.heardAt = now
		p.trial(ticket.route, ticket.serviceZone.service).heardAt = now
	}
	for i, other := range s.inFlight {
		if other == ticket {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			break
		}
	}
	isOverdue := ticket.elapsedRatio(now) > overdueRatio
	if !result.Canceled || isOverdue {
		p.recordOutcome(now, s, result.Failed || result.Canceled)
	}
	if result.Report != nil {
		p.recordReport(now, ticket.serviceZone, s, result.Report)
	}
	if result.Responded {
		p.recordLatency(now, s, ticket, result.Report)
	}
}

func (p *Picker) recordOutcome(now model.Instant, s *stats, failed bool) {
	rate := s.failures * decay(now.Sub(s.failedAt), failureTimeConstant)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failures = rate + failureGain*(outcome-rate)
	s.failedAt = now
}

func (p *Picker) recordReport(now model.Instant, in serviceZone, s *stats, report *Report) {
	s.others = max(0, float64(report.Running+report.Waiting-len(s.inFlight)))
	s.machineSlowness = report.Slowness
	s.reportedAt = now
	s.hasReport = true
	mean := p.meanAt(now, in)
	p.meanOthers[in] = zoneMean{others: mean + meanGain*(s.others-mean), at: now}
}

// recordLatency updates the route's work time and the target's relative work time. It ignores responses with a report
// of waiting requests, because their latency may include time in the target's queue.
func (p *Picker) recordLatency(now model.Instant, s *stats, ticket *Ticket, report *Report) {
	slowness := typicalSlowness
	if report != nil {
		if report.Waiting > 0 {
			return
		}
		slowness = report.Slowness
	}
	normal := float64(now.Sub(ticket.started)) / max(0.2, slowness)
	if ticket.isTrial {
		p.replaceObservations(now, s, ticket, normal)
		return
	}
	work := p.work[ticket.route]
	work.observe(now, normal/s.targetSlowness)
	p.work[ticket.route] = work
	ratio := min(5, max(0.3, normal/work.expected(now)))
	s.targetSlowness += targetSlownessGain * (ratio - s.targetSlowness)
}

// Work returns the estimated work time of a route on a typical target.
func (p *Picker) Work(now model.Instant, route string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.routeWork(now, route) * typicalSlowness)
}

// Forget drops the statistics of targets that have no requests in flight and were not used for the given time.
func (p *Picker) Forget(now model.Instant, unused time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for incarnation, s := range p.targets {
		if len(s.inFlight) == 0 && now.Sub(s.lastUsed) > unused {
			delete(p.targets, incarnation)
		}
	}
}
