package bench

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Zone is a zone of a deployment.
type Zone struct {
	Name   model.Zone
	Region model.Region
}

// Service is the load model of a service.
type Service struct {
	Name      model.Service
	Keyed     bool
	Instances int
	// Work is the mean time that a target needs for a request.
	Work time.Duration
	// Deadline is the caller's deadline, counted from the intended send time.
	Deadline time.Duration
}

// Deployment is the size and load of one user's deployment.
type Deployment struct {
	Name     string
	Zones    []Zone
	EntryVMs int
	// Concurrency is the number of requests that one target runs at a time.
	Concurrency int
	// HashSlots is the number of hash slots of a keyed service.
	HashSlots int
	// Utilization is the share of all targets' capacity that the load needs.
	Utilization float64
	// HotKeyRate is the rule hot_key_rate of the deployment's example, in requests a second.
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

// Network and platform times.
const (
	clientDelay  = 8 * time.Millisecond
	sameZone     = 250 * time.Microsecond
	betweenZones = time.Millisecond
	betweenRegs  = 12 * time.Millisecond
	// probeEvery is the interval of renewals, each of which reads the load.
	probeEvery = 600 * time.Millisecond
	// reportLag is how old a load report is when it reaches the entry VMs.
	reportLag = 500 * time.Millisecond
	// notServingAfter is when a lost target's status says so: one missed renewal and its timeout.
	notServingAfter = time.Second
	// takeoverAfter is when a lost target's slots are free: the end of its lease, statements and one append.
	takeoverAfter = 2200 * time.Millisecond
	// moveTime is how long a slot has no owner in a planned move: drain, append, fold and grant.
	moveTime = 60 * time.Millisecond
	// configDelay is when entry VMs act on a published change.
	configDelay = time.Second
	// planEvery is the interval of the planner; movesPerPlan bounds its moves
	// as control.maxPlannedMoves does.
	planEvery    = 500 * time.Millisecond
	movesPerPlan = 64
	// coldStart is the length of the ramp, coldInitial the concurrency at its start.
	coldStart   = 20 * time.Second
	coldInitial = 1
	// coldPenalty multiplies the work of a cold target that runs more than its limit.
	coldPenalty = 8
	// targetQueue is the number of requests that wait at a target before it sheds load.
	targetQueue = 16
	// requestBytes is charged to the budget for other regions.
	requestBytes = 4 << 10
	spillBytes   = 256 << 10
	// linkBits is the capacity between the regions, in bit/s each way.
	linkBits = 30_000_000
	// workSigma is the shape of the log-normal work.
	workSigma = 0.6
	// keyCount and keySkew describe the Zipf distribution of keys.
	keyCount = 1_000_000
	keySkew  = 1.05
)
