// Package picker chooses the target of a request by the time at which each is expected to answer.
//
// Targets have few slots that all VMs share without a common queue, differ in speed, and are slowed by neighbors for
// moments. The estimate combines what this VM knows at once, its own requests in flight, with what targets report in
// their answers, which is true but late. The package does no I/O; clock and randomness are passed in.
package picker

import (
	"math"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// loadMemory is the time constant with which a load report loses weight. Requests last some hundred milliseconds.
	loadMemory = 400 * time.Millisecond
	// slownessMemory is the time constant of a slowness report, which changes several times a second.
	slownessMemory = 300 * time.Millisecond
	// meanMemory is the time constant with which the mean load of a zone is forgotten. A zone that seemed full and got
	// nothing since is tried again after some seconds.
	meanMemory = 5 * time.Second
	// meanGain is the weight of a new report in the mean load of its zone.
	meanGain = 0.05
	// usualSlowness is the mean slowness of a machine with neighbors.
	usualSlowness = 1.2
	// speedGain is the weight of a new observation in a target's relative speed.
	speedGain = 0.15
	// workGain is the weight of a new observation in a route's work time.
	workGain = 0.05
	// failureGain is the weight of a new outcome in a target's failure rate.
	failureGain = 0.2
	// failureMemory is the time constant with which a failure rate is forgotten without outcomes.
	failureMemory = 3 * time.Second
	// maxFailurePenalty bounds the factor by which failures raise the expected time.
	maxFailurePenalty = 6.0
	// crowding is the slowdown of a target with all slots taken.
	crowding = 0.2
	// initialWork is the work time assumed for a route without observations.
	initialWork = 200 * time.Millisecond
	// jitter spreads the choices of VMs that know the same reports.
	jitter = 0.1
	// zoneRoundTrip and regionRoundTrip are the added times of a target in another zone or region.
	zoneRoundTrip   = 3 * time.Millisecond
	regionRoundTrip = 26 * time.Millisecond
	// regionPreference is the expected gain from which a target in another region is preferred, as the link between the
	// regions is narrow and paid by volume.
	regionPreference = 250 * time.Millisecond
	// lateFactor is how many times the expected time a request may be in flight before its target counts as slower.
	lateFactor = 2.5
)

// Request describes a request to be placed.
type Request struct {
	Route string
	// Zone and Region are those of this VM.
	Zone   model.Zone
	Region model.Region
}

// Report is a load report of a target.
type Report struct {
	Running  int
	Waiting  int
	Slots    int
	Slowness float64
}

// Result is the end of a request at a target.
type Result struct {
	// Responded is true if the target ran the request and answered.
	Responded bool
	// Failed is true if the target failed the request or did not take it.
	Failed bool
	Report *Report
}

// Ticket is a request in flight.
type Ticket struct {
	life     fleet.Incarnation
	route    string
	area     area
	started  model.Instant
	expected time.Duration
}

// Expected is the time that the answer was expected to take.
func (t *Ticket) Expected() time.Duration { return t.expected }

type stats struct {
	inFlight []*Ticket
	others   float64
	slowness float64
	reported model.Instant
	known    bool
	slots    int
	speed    float64
	failures float64
	failedAt model.Instant
	used     model.Instant
}

// Picker holds what one VM knows of the targets' load. It is safe for concurrent use and has one lock.
type Picker struct {
	random func() float64

	mu         sync.Mutex
	targets    map[fleet.Incarnation]*stats
	work       map[string]time.Duration
	meanOthers map[area]zoneMean
}

// area is the part of a service in one zone. Zones differ in load: the callers of one region may fill its targets while
// those of another have room.
type area struct {
	service model.Service
	zone    model.Zone
}

// zoneMean is the mean number of other VMs' requests at the targets of an area.
type zoneMean struct {
	others float64
	at     model.Instant
}

// New returns a picker. random yields numbers from 0 to 1.
func New(random func() float64) *Picker {
	return &Picker{
		random: random, targets: map[fleet.Incarnation]*stats{}, work: map[string]time.Duration{},
		meanOthers: map[area]zoneMean{},
	}
}

// Estimate is when a target is expected to answer a request, and what that rests on.
type Estimate struct {
	Total time.Duration
	// Own is the number of this VM's requests in flight to the target, Others the number of other VMs'.
	Own    int
	Others float64
	// ReportAge is the age of the target's last load report; negative if there is none.
	ReportAge time.Duration
	// Speed and Slowness are the target's and its machine's work times, relative to usual.
	Speed    float64
	Slowness float64
	// FailureFactor and LateFactor are by how much failures and overdue answers raise the total.
	FailureFactor float64
	LateFactor    float64
}

// Choice is a chosen target and when it is expected to answer.
type Choice struct {
	Index    int
	Estimate Estimate
}

// Choose returns the target that is expected to answer first. It returns false if there is none.
func (p *Picker) Choose(now model.Instant, request Request, targets []fleet.Target) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := Choice{Index: -1}
	bestCost := math.Inf(1)
	for i := range targets {
		estimate := p.estimate(now, request, &targets[i])
		cost := float64(estimate.Total) * (1 + jitter*p.random())
		if targets[i].Region != request.Region {
			cost += float64(regionPreference)
		}
		if cost < bestCost {
			bestCost = cost
			best = Choice{Index: i, Estimate: estimate}
		}
	}
	return best, best.Index >= 0
}

// Estimate returns when a target is expected to answer a request.
func (p *Picker) Estimate(now model.Instant, request Request, target *fleet.Target) Estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.estimate(now, request, target)
}

func (p *Picker) estimate(now model.Instant, request Request, target *fleet.Target) Estimate {
	s := p.stats(now, target)
	e := Estimate{
		Own: len(s.inFlight), Others: p.othersAt(now, areaOf(target), s), ReportAge: -1, Speed: s.speed,
		Slowness: p.slownessAt(now, s), FailureFactor: p.failurePenalty(now, s), LateFactor: p.latePenalty(now, s),
	}
	if s.known {
		e.ReportAge = now.Sub(s.reported)
	}
	work := p.routeWork(request.Route) * e.Speed * e.Slowness
	occupied := float64(e.Own) + e.Others
	slots := float64(max(1, s.slots))
	work *= 1 + crowding*min(1, occupied/slots)
	wait := 0.0
	if occupied >= slots {
		wait = (occupied - slots + 1) / slots * work
	}
	e.Total = time.Duration((wait+work)*e.FailureFactor*e.LateFactor) + distance(request, target)
	return e
}

func distance(request Request, target *fleet.Target) time.Duration {
	switch {
	case target.Zone == request.Zone:
		return 0
	case target.Region == request.Region:
		return zoneRoundTrip
	}
	return regionRoundTrip
}

func (p *Picker) stats(now model.Instant, target *fleet.Target) *stats {
	life := target.Incarnation()
	s := p.targets[life]
	if s == nil {
		s = &stats{speed: 1, slowness: usualSlowness}
		p.targets[life] = s
	}
	s.slots = target.Slots
	s.used = now
	return s
}

func (p *Picker) routeWork(route string) float64 {
	if work, found := p.work[route]; found {
		return float64(work)
	}
	return float64(initialWork)
}

// fade returns the weight that is left of a report.
func fade(age, memory time.Duration) float64 { return math.Exp(-float64(age) / float64(memory)) }

func areaOf(target *fleet.Target) area { return area{service: target.Service, zone: target.Zone} }

func (p *Picker) othersAt(now model.Instant, in area, s *stats) float64 {
	mean := p.meanAt(now, in)
	if !s.known {
		return mean
	}
	weight := fade(now.Sub(s.reported), loadMemory)
	return s.others*weight + mean*(1-weight)
}

func (p *Picker) meanAt(now model.Instant, in area) float64 {
	mean := p.meanOthers[in]
	return mean.others * fade(now.Sub(mean.at), meanMemory)
}

func (p *Picker) slownessAt(now model.Instant, s *stats) float64 {
	if !s.known {
		return usualSlowness
	}
	weight := fade(now.Sub(s.reported), slownessMemory)
	return s.slowness*weight + usualSlowness*(1-weight)
}

// failurePenalty is the expected number of attempts at a target.
func (p *Picker) failurePenalty(now model.Instant, s *stats) float64 {
	rate := s.failures * fade(now.Sub(s.failedAt), failureMemory)
	return min(maxFailurePenalty, 1/max(0.1, 1-rate))
}

// latePenalty raises the expected time while an answer is overdue.
func (p *Picker) latePenalty(now model.Instant, s *stats) float64 {
	worst := 1.0
	for _, ticket := range s.inFlight {
		if ticket.expected <= 0 {
			continue
		}
		if ratio := float64(now.Sub(ticket.started)) / float64(ticket.expected); ratio > lateFactor {
			worst = max(worst, ratio)
		}
	}
	return worst
}

// Begin records that a request is sent to a target.
func (p *Picker) Begin(now model.Instant, request Request, target *fleet.Target) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	ticket := &Ticket{
		life: target.Incarnation(), route: request.Route, area: areaOf(target), started: now,
		expected: p.estimate(now, request, target).Total,
	}
	s := p.stats(now, target)
	s.inFlight = append(s.inFlight, ticket)
	return ticket
}

// End records the end of a request.
func (p *Picker) End(now model.Instant, ticket *Ticket, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.targets[ticket.life]
	if s == nil {
		return
	}
	for i, other := range s.inFlight {
		if other == ticket {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			break
		}
	}
	p.recordOutcome(now, s, result.Failed)
	if result.Report != nil {
		p.recordReport(now, ticket.area, s, result.Report)
	}
	if result.Responded {
		p.recordLatency(s, ticket, now.Sub(ticket.started), result.Report)
	}
}

func (p *Picker) recordOutcome(now model.Instant, s *stats, failed bool) {
	rate := s.failures * fade(now.Sub(s.failedAt), failureMemory)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failures = rate + failureGain*(outcome-rate)
	s.failedAt = now
}

func (p *Picker) recordReport(now model.Instant, in area, s *stats, report *Report) {
	s.others = max(0, float64(report.Running+report.Waiting-len(s.inFlight)))
	s.slowness = report.Slowness
	s.reported = now
	s.known = true
	mean := p.meanAt(now, in)
	p.meanOthers[in] = zoneMean{others: mean + meanGain*(s.others-mean), at: now}
}

// recordLatency learns the route's work and the target's speed from answers that did not wait.
func (p *Picker) recordLatency(s *stats, ticket *Ticket, latency time.Duration, report *Report) {
	slowness := usualSlowness
	if report != nil {
		if report.Waiting > 0 {
			return
		}
		slowness = report.Slowness
	}
	base := p.routeWork(ticket.route)
	normal := float64(latency) / max(0.2, slowness)
	p.work[ticket.route] = time.Duration(base + workGain*(normal/s.speed-base))
	ratio := min(5, max(0.3, normal/base))
	s.speed += speedGain * (ratio - s.speed)
}

// Work returns the estimated work time of a route on a usual target.
func (p *Picker) Work(route string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.routeWork(route) * usualSlowness)
}

// Forget drops what is known of targets that were not used for a time.
func (p *Picker) Forget(now model.Instant, unused time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for life, s := range p.targets {
		if len(s.inFlight) == 0 && now.Sub(s.used) > unused {
			delete(p.targets, life)
		}
	}
}
