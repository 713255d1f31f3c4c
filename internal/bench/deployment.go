package bench

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Zone is an availability zone of a deployment.
type Zone struct {
	Name   model.Zone
	Region model.Region
}

// Service is the load model of a service.
type Service struct {
	Name      model.Service
	Keyed     bool
	Instances int
	// Work is the mean time that a target takes to process a request.
	Work time.Duration
	// Deadline is the caller's deadline, counted from the intended send time.
	Deadline time.Duration
}

// Deployment is the size and load of one user's deployment.
type Deployment struct {
	Name     string
	Zones    []Zone
	EntryVMs int
	// Concurrency is the number of requests that one target runs at the same time.
	Concurrency int
	// HashSlots is the number of hash slots of a keyed service.
	HashSlots int
	// Utilization is the fraction of the capacity of all targets that the load uses.
	Utilization float64
	// HotKeyRate is the value of the rule hot_key_rate in the deployment's example, in requests per second.
	HotKeyRate float64
	Services   []Service
}

// Granite returns Granite Ledger's deployment. Work and utilization are assumptions.
func Granite() Deployment {
	return Deployment{
		Name: "granite",
		Zones: []Zone{{"seacoast-a", "nh-seacoast"}, {"seacoast-b", "nh-seacoast"},
			{"worcester-a", "mass-central"}, {"worcester-b", "mass-central"}},
		EntryVMs: 11, Concurrency: 4, HashSlots: 256, Utilization: 0.5, HotKeyRate: 50,
		Services: []Service{
			{Name: "alert-desk", Instances: 20, Work: 20 * time.Millisecond, Deadline: 500 * time.Millisecond},
			{Name: "draft-review", Keyed: true, Instances: 12, Work: 40 * time.Millisecond, Deadline: time.Second},
		},
	}
}

// Skyframe returns Skyframe Broadcast Graphics' deployment. Work and utilization are assumptions.
func Skyframe() Deployment {
	return Deployment{
		Name: "skyframe",
		Zones: []Zone{{"coast-a", "coast"}, {"coast-b", "coast"},
			{"interior-a", "interior"}, {"interior-b", "interior"}},
		EntryVMs: 10, Concurrency: 2, HashSlots: 256, Utilization: 0.5, HotKeyRate: 30,
		Services: []Service{
			{Name: "forecast-svc", Instances: 17, Work: 15 * time.Millisecond, Deadline: 500 * time.Millisecond},
			{Name: "media-svc", Keyed: true, Instances: 13, Work: 40 * time.Millisecond, Deadline: time.Second},
		},
	}
}

// Parameters of the model.
const (
	// clientDelay, sameZone, betweenZones and betweenRegions are one-way network delays. clientDelay is the delay between
	// a caller and its entry VM.
	clientDelay    = 8 * time.Millisecond
	sameZone       = 250 * time.Microsecond
	betweenZones   = time.Millisecond
	betweenRegions = 12 * time.Millisecond
	// probeInterval is the interval of lease renewals, each of which reads the load.
	probeInterval = 600 * time.Millisecond
	// reportLag is the age of a load report when entry VMs receive it.
	reportLag = 500 * time.Millisecond
	// notServingAfter is the time until the status of a failed target changes to not serving: one missed renewal and its
	// timeout.
	notServingAfter = time.Second
	// takeoverAfter is the time until the slots of a failed target are free: the expiry of its lease, the statements of
	// the entry VMs and one append.
	takeoverAfter = 2200 * time.Millisecond
	// moveDuration is the time for which a slot has no owner during a planned move: drain, append, fold and grant.
	moveDuration = 60 * time.Millisecond
	// configDelay is the time until entry VMs apply a published change.
	configDelay = time.Second
	// planInterval is the interval of the planner; movesPerPlan limits its moves like control.maxPlannedMoves.
	planInterval = 500 * time.Millisecond
	movesPerPlan = 64
	// coldStart is the duration of the cold-start ramp, coldInitial the concurrency limit at its start.
	coldStart   = 20 * time.Second
	coldInitial = 1
	// coldPenalty multiplies the work of requests that a cold target runs above its limit.
	coldPenalty = 8
	// targetQueue is the number of requests that a target queues before it sheds load.
	targetQueue = 16
	// requestBytes is the size of a request and its response together. It is charged to the cross-region budget of an
	// entry VM, whose rate is spillBytesPerSecond.
	requestBytes        = 4 << 10
	spillBytesPerSecond = 256 << 10
	// linkBitsPerSecond is the capacity of the cross-region link in each direction.
	linkBitsPerSecond = 30_000_000
	// workSigma is the standard deviation of the logarithm of the log-normally distributed work.
	workSigma = 0.6
	// keyCount and keySkew are the parameters of the Zipf distribution of keys.
	keyCount = 1_000_000
	keySkew  = 1.05
)
