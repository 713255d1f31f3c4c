package hub

import "github.com/tarragonpoint/tarragonpoint/internal/model"

const (
	// candidates is about the number of VMs that are ready to lead while the leader is heard. The store is called by each
	// of them.
	candidates = 4
	// wideShare is the part of the widest link from which a VM may become a candidate. A leader passes every change on to
	// all VMs, which fills a narrow link.
	wideShare = 0.5
)

// member is a VM that reported.
type member struct {
	at       model.Instant
	linkMbps float64
}

// placeOf returns the place of a VM among all members. Ranks follow names, and names follow zones, so that every n-th
// of the VMs with wide links spreads the candidates over the zones.
func placeOf(vm string, members map[string]member) Position {
	widest := 0.0
	for _, m := range members {
		widest = max(widest, m.linkMbps)
	}
	place := Position{VMs: len(members)}
	wide, wideRank := 0, 0
	for name, m := range members {
		if name < vm {
			place.Rank++
		}
		if m.linkMbps < widest*wideShare {
			continue
		}
		wide++
		if name < vm {
			wideRank++
		}
	}
	isWide := members[vm].linkMbps >= widest*wideShare
	place.Candidate = isWide && wideRank%max(1, wide/candidates) == 0
	return place
}
