package hub

import (
	"slices"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fanout"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// planInterval is the longest time between two plans of the distribution of records. A relay without reports is replaced
	// within that time.
	planInterval = 250 * time.Millisecond
	// newMemberPlanInterval is the shortest time between two plans. When 300 VMs start within 0.3 s, not each of them causes one.
	newMemberPlanInterval = 50 * time.Millisecond
	// planGrace is the time since the start of a term for which VMs keep assignments of the former leader. It covers three
	// reports of each VM; before that, the leader does not know all VMs.
	planGrace = 1500 * time.Millisecond
)

// plan holds what the leader computes for all VMs together in a large deployment.
type plan struct {
	minMembers  int
	planner     *fanout.Planner
	at          model.Instant
	assignments map[string]fanout.Assignment
	// positions holds the positions of the members at the last plan; empty in a small deployment.
	positions map[string]Position
	// self is this VM's name, known from its own reports.
	self string
}

func newPlan(minMembers int) plan {
	return plan{minMembers: minMembers, planner: fanout.NewPlanner(minMembers)}
}

// addMember records a report, drops members without recent ones, and updates the plan if it is due. The caller must hold mu.
func (s *Server) addMember(now model.Instant, report Report) {
	former, isKnown := s.members[report.VM]
	s.members[report.VM] = member{
		reportedAt: now, linkMbps: report.LinkMbps, node: report.Node, leaving: report.Shares.Ends,
	}
	changed := !isKnown || former.leaving != report.Shares.Ends
	since := now.Sub(s.plan.at)
	isLarge := len(s.members) >= s.plan.minMembers || len(s.plan.assignments) > 0
	if isLarge && since < planInterval && !(changed && since >= newMemberPlanInterval) {
		return
	}
	for vm, m := range s.members {
		if now.Sub(m.reportedAt) > memberTTL {
			delete(s.members, vm)
		}
	}
	if !isLarge {
		s.plan.positions = nil
		return
	}
	s.plan.at = now
	s.plan.update(now, s.members)
	s.records.SetActive(len(s.plan.assignments) > 0)
}

func (p *plan) update(now model.Instant, members map[string]member) {
	p.positions = positionsOf(members)
	planned := make([]fanout.Member, 0, len(members))
	for name, m := range members {
		planned = append(planned, plannedMember(name, m, p.positions[name].Candidate))
	}
	p.assignments = p.planner.Plan(now, p.self, planned)
}

func plannedMember(name string, m member, isCandidate bool) fanout.Member {
	planned := fanout.Member{
		Name: name, LinkMbps: m.linkMbps, ReportedAt: m.reportedAt, Leaving: m.leaving, Candidate: isCandidate,
	}
	if m.node != nil {
		planned.Zone, planned.Address, planned.Parent = m.node.Zone, m.node.Address, m.node.Parent
	}
	return planned
}

// position returns the position of a VM. The caller must hold mu.
func (s *Server) position(vm string) Position {
	if position, isPlanned := s.plan.positions[vm]; isPlanned {
		return position
	}
	return positionOf(vm, s.members)
}

// positionsOf returns the positions of all members, like positionOf.
func positionsOf(members map[string]member) map[string]Position {
	names := make([]string, 0, len(members))
	maxLinkMbps := 0.0
	for name, m := range members {
		names = append(names, name)
		maxLinkMbps = max(maxLinkMbps, m.linkMbps)
	}
	slices.Sort(names)
	var eligible []string
	positions := make(map[string]Position, len(names))
	for _, name := range names {
		positions[name] = Position{VMs: len(names)}
		if members[name].linkMbps >= maxLinkMbps*minCandidateLinkRatio {
			eligible = append(eligible, name)
		}
	}
	for rank := 0; rank < len(eligible); rank += max(1, len(eligible)/candidateCount) {
		positions[eligible[rank]] = Position{VMs: len(names), Candidate: true}
	}
	return positions
}

// upstreamOf returns the place of the VM that sent a report, or nil if the VM knows it. While a new leader does not know all
// VMs yet, those with a place keep it.
func (s *Server) upstreamOf(report Report) *Upstream {
	if report.Node == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	assignment := s.plan.assignments[report.VM]
	isSettled := s.now().Sub(s.termStartedAt) >= planGrace
	if assignment.Hash() == report.Node.Plan || report.Node.Plan != 0 && !isSettled {
		return nil
	}
	return &Upstream{IsRelay: assignment.IsRelay, Parents: assignment.Parents}
}
