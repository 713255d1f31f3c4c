package bench

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/balance"
	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/placement"
)

// QueueAt says where requests wait when all targets seem busy.
type QueueAt string

// Places of the queue.
const (
	QueueAtTarget QueueAt = "target"
	QueueAtEntry  QueueAt = "entry"
	// QueueShare queues at the entry VM as soon as it uses its part of the service's capacity.
	QueueShare QueueAt = "share"
)

// Stack is a set of policies that are measured together.
type Stack struct {
	Name    string
	Plan    func(placement.Input) []placement.Move
	Balance kernel.ID
	// Budgeted turns on the retry budget and hedging; otherwise each refused request is sent up to three times.
	Budgeted bool
	// ColdRule lets only the lessor send to a cold target, within the ramp.
	ColdRule bool
	// ColdWeight lets cold targets take slots only in proportion to their ramp.
	ColdWeight bool
	// SlowWeight lets targets that the lessor sees as slow keep fewer slots.
	SlowWeight bool
	// Overrides lets slots of lost targets fail over inside their zone while the log is down.
	Overrides bool
	// HotRates tells the placement the request rates of hot slots.
	HotRates bool
	// HotKeyRule takes slots for hot from the deployment's HotKeyRate on, instead of a ratio to the mean rate.
	HotKeyRule bool
	Queue      QueueAt
	// CountEvery is the interval at which VMs of a zone share their counts of running requests; 0 means never.
	CountEvery time.Duration
	// NoReports ignores the targets' load reports.
	NoReports bool
}

// Baseline returns plain rendezvous hashing, random choice, unlimited retries and no cold-start rule.
func Baseline() Stack {
	return Stack{Name: "baseline", Plan: placement.Rendezvous, Balance: balance.RandomID, Queue: QueueAtTarget}
}

// Policy returns the policies in use.
func Policy() Stack {
	return Stack{Name: "policy", Plan: placement.Plan, Balance: balance.P2CID, Budgeted: true, ColdRule: true,
		ColdWeight: true, Overrides: true, HotRates: true, Queue: QueueAtTarget}
}

// Variants returns Policy with one choice changed each.
func Variants() []Stack {
	variants := []Stack{Policy()}
	add := func(name string, change func(*Stack)) {
		stack := Policy()
		change(&stack)
		stack.Name = name
		variants = append(variants, stack)
	}
	add("queue-at-entry", func(s *Stack) { s.Queue = QueueAtEntry })
	add("per-vm-share", func(s *Stack) { s.Queue = QueueShare })
	add("no-reports", func(s *Stack) { s.NoReports = true })
	for _, every := range []time.Duration{50, 100, 200, 400} {
		every *= time.Millisecond
		add("counts-"+every.String(), func(s *Stack) { s.CountEvery = every })
	}
	add("counts-100ms-no-reports", func(s *Stack) { s.CountEvery, s.NoReports = 100*time.Millisecond, true })
	add("counts-100ms-queue-at-entry", func(s *Stack) { s.CountEvery, s.Queue = 100*time.Millisecond, QueueAtEntry })
	add("no-overrides", func(s *Stack) { s.Overrides = false })
	add("no-cold-weight", func(s *Stack) { s.ColdWeight = false })
	add("no-hot-rates", func(s *Stack) { s.HotRates = false })
	add("hot-key-rule", func(s *Stack) { s.HotKeyRule = true })
	add("slow-weight", func(s *Stack) { s.SlowWeight = true })
	add("round-robin", func(s *Stack) { s.Balance = balance.RoundRobinID })
	add("no-budget-no-hedge", func(s *Stack) { s.Budgeted = false })
	return variants
}
