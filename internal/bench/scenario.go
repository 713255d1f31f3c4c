package bench

import "time"

// Fault is a change that is applied to the simulation at a given time of the run.
type Fault struct {
	At    time.Duration
	Apply func(*sim)
}

// Scenario describes a run: its duration and its faults.
type Scenario struct {
	Name     string
	Duration time.Duration
	Faults   []Fault
}

const (
	shortRun     = 60 * time.Second
	faultAt      = 15 * time.Second
	slowDuration = 15 * time.Second
	slowFactor   = 6

	logOutageDuration = 3 * time.Minute
)

// forEachLoad returns a change that calls do for each service, with the service's second server.
func forEachLoad(do func(l *load, s *server)) func(*sim) {
	return func(run *sim) {
		for _, l := range run.loads {
			do(l, l.servers[1])
		}
	}
}

func failTarget(at time.Duration) Fault {
	return Fault{at, forEachLoad(func(_ *load, s *server) { s.fail() })}
}

func restartTarget(at time.Duration) Fault {
	return Fault{at, forEachLoad(func(_ *load, s *server) { s.start() })}
}

// drainTarget takes the third target of each service out of service.
func drainTarget(at time.Duration) Fault {
	return Fault{at, forEachLoad(func(l *load, _ *server) { l.servers[2].route.InService = false })}
}

// setSlow multiplies the work of two targets in different zones of each service by factor, like noisy neighbors.
func setSlow(at time.Duration, factor float64) Fault {
	return Fault{at, func(run *sim) {
		for _, l := range run.loads {
			l.servers[3].slow, l.servers[6].slow = factor, factor
		}
	}}
}

// setZoneInService takes the second zone out of service, or returns it to service with cold targets. The change is
// published at the given time and applied after configDelay.
func setZoneInService(at time.Duration, inService bool) Fault {
	return Fault{at + configDelay, func(run *sim) {
		zone := run.deployment.Zones[1].Name
		for _, l := range run.loads {
			for _, s := range l.servers {
				if s.route.Zone != zone {
					continue
				}
				s.route.InService = inService
				if inService {
					s.start()
				}
			}
		}
	}}
}

func failVM(at time.Duration) Fault {
	return Fault{at, func(run *sim) { run.vms[0].alive = false }}
}

func setLogDown(at time.Duration, down bool) Fault {
	return Fault{at, func(run *sim) { run.logDown = down }}
}

// Scenarios returns the scenarios in the order in which they run.
func Scenarios() []Scenario {
	slowEnd := faultAt + slowDuration
	return []Scenario{
		{"steady", shortRun, nil},
		{"loss-return-leave", shortRun, []Fault{failTarget(faultAt), restartTarget(2 * faultAt), drainTarget(3 * faultAt)}},
		{"zone-move", 90 * time.Second, []Fault{setZoneInService(faultAt, false), setZoneInService(3*faultAt, true)}},
		{"slow-targets", shortRun, []Fault{setSlow(faultAt, slowFactor), setSlow(slowEnd, 1)}},
		{"two-faults", shortRun, []Fault{
			failTarget(faultAt), setSlow(faultAt, slowFactor), failVM(faultAt + time.Second), setSlow(slowEnd, 1)}},
		{"log-down", logOutageDuration + 2*faultAt, []Fault{
			setLogDown(faultAt, true), failTarget(2 * faultAt), setLogDown(faultAt+logOutageDuration, false)}},
	}
}
