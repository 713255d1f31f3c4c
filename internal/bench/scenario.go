package bench

import "time"

// Fault is a change at a time of a run.
type Fault struct {
	At    time.Duration
	Apply func(*sim)
}

// Scenario is a run with its faults.
type Scenario struct {
	Name     string
	Duration time.Duration
	Faults   []Fault
}

const (
	shortRun = 60 * time.Second
	faultAt  = 15 * time.Second
	slowFor  = 15 * time.Second
	slowBy   = 6
	// logOutage is the length of the outage of the log service.
	logOutage = 3 * time.Minute
)

func servers(do func(l *load, s *server)) func(*sim) {
	return func(run *sim) {
		for _, l := range run.loads {
			do(l, l.servers[1])
		}
	}
}

func lose(at time.Duration) Fault {
	return Fault{at, servers(func(_ *load, s *server) { s.die() })}
}

func restart(at time.Duration) Fault {
	return Fault{at, servers(func(_ *load, s *server) { s.start() })}
}

func drain(at time.Duration) Fault {
	return Fault{at, servers(func(l *load, _ *server) { l.servers[2].route.InService = false })}
}

// setSlow slows two targets in different zones of each service, as noisy neighbors do.
func setSlow(at time.Duration, factor float64) Fault {
	return Fault{at, func(run *sim) {
		for _, l := range run.loads {
			l.servers[3].slow, l.servers[6].slow = factor, factor
		}
	}}
}

// setZone takes the second zone out of service, or returns it with cold targets.
func setZone(at time.Duration, inService bool) Fault {
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

func loseVM(at time.Duration) Fault {
	return Fault{at, func(run *sim) { run.vms[0].alive = false }}
}

func setLog(at time.Duration, down bool) Fault {
	return Fault{at, func(run *sim) { run.logDown = down }}
}

// Scenarios returns the runs in order.
func Scenarios() []Scenario {
	slowEnd := faultAt + slowFor
	return []Scenario{
		{"steady", shortRun, nil},
		{"loss-return-leave", shortRun, []Fault{lose(faultAt), restart(2 * faultAt), drain(3 * faultAt)}},
		{"zone-move", 90 * time.Second, []Fault{setZone(faultAt, false), setZone(3*faultAt, true)}},
		{"slow-targets", shortRun, []Fault{setSlow(faultAt, slowBy), setSlow(slowEnd, 1)}},
		{"two-faults", shortRun, []Fault{
			lose(faultAt), setSlow(faultAt, slowBy), loseVM(faultAt + time.Second), setSlow(slowEnd, 1)}},
		{"log-down", logOutage + 2*faultAt, []Fault{
			setLog(faultAt, true), lose(2 * faultAt), setLog(faultAt+logOutage, false)}},
	}
}
