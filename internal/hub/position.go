package hub

import "github.com/tarragonpoint/tarragonpoint/internal/model"

const (
	// candidateCount is the approximate number of VMs that stay in the election group while the leader is responsive. It
	// is small because each of them calls the store regularly.
	candidateCount = 4
	// minCandidateLinkRatio is the lowest link bandwidth of a candidate, as a fraction of the highest bandwidth of any
	// VM. The leader relays every change to all VMs, which saturates a slow link.
	minCandidateLinkRatio = 0.5
)

// member is a VM that sent a report at time reportedAt.
type member struct {
	reportedAt model.Instant
	linkMbps   float64
	// node is nil for a VM of an older version.
	node    *Node
	leaving bool
}

// positionOf returns the position of a VM among all members. Names are ordered by zone, so
// choosing every n-th VM with sufficient bandwidth spreads the candidates over the zones.
func positionOf(vm string, members map[string]member) Position {
	maxLinkMbps := 0.0
	for _, m := range members {
		maxLinkMbps = max(maxLinkMbps, m.linkMbps)
	}
	position := Position{VMs: len(members)}
	eligible, eligibleRank := 0, 0
	for name, m := range members {
		if m.linkMbps < maxLinkMbps*minCandidateLinkRatio {
			continue
		}
		eligible++
		if name < vm {
			eligibleRank++
		}
	}
	isEligible := members[vm].linkMbps >= maxLinkMbps*minCandidateLinkRatio
	position.Candidate = isEligible && eligibleRank%max(1, eligible/candidateCount) == 0
	return position
}
