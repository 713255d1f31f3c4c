package bench

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/balance"
	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/placement"
)

// QueueAt determines where requests wait when all targets appear busy.
type QueueAt string

// Locations of the queue.
const (
	QueueAtTarget QueueAt = "target"
	QueueAtEntry  QueueAt = "entry"
	// QueueShare queues at the entry VM as soon as the VM uses its share of the service's capacity.
	QueueShare QueueAt = "share"
)

// Stack is a combination of policies that is measured as a whole.
type Stack struct {
	Name    string
	Plan    func(placement.Input) []placement.Move
	Balance kernel.ID
	// Budgeted enables the retry budget and hedging; otherwise each failed request is sent up to three times.
	Budgeted bool
	// ColdRule lets only the lessor send requests to a cold target, up to the concurrency limit of the ramp.
	ColdRule bool
	// ColdWeight assigns slots to cold targets only in proportion to their ramp.
	ColdWeight bool
	// SlowWeight assigns fewer slots to targets that are slow according to their lessor.
	SlowWeight bool
	// Overrides lets slots of failed targets fail over inside their zone while the log is down.
	Overrides bool
	// HotRates passes the request rates of hot slots to the placement.
	HotRates bool
	// HotKeyRule treats slots above the deployment's HotKeyRate as hot, instead of using a ratio to the mean rate.
	HotKeyRule bool
	Queue      QueueAt
	// CountEvery is the interval at which VMs of a zone share their counts of in-flight requests; 0 means never.
	CountEvery time.Duration
	// NoReports ignores the targets' load reports.
	NoReports bool
}

// Baseline returns plain rendezvous hashing, random choice, retries without a budget and no cold-start rule.
func Baseline() Stack {
	return Stack{Name: "baseline", Plan: placement.Rendezvous, Balance: balance.RandomID, Queue: QueueAtTarget}
}

// Policy returns the policies that the router uses.
func Policy() Stack {
	return Stack{Name: "policy", Plan: placement.Plan, Balance: balance.P2CID, Budgeted: true, ColdRule: true,
		ColdWeight: true, Overrides: true, HotRates: true, Queue: QueueAtTarget}
}

// Variants returns Policy and variants of it, most of which change one policy.
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
