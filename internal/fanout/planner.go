package fanout

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Member is a VM as the leader knows it from its last report.
type Member struct {
	Name string
	Zone string
	// Address is where the VM accepts subscriptions; "" if it does not, because its version is older.
	Address string
	// LinkMbps is the bandwidth of the VM's link in Mbit/s; 0 if it is not known.
	LinkMbps   float64
	ReportedAt model.Instant
	// Parent is the name of the VM from which it gets batches; "" if the leader sends them.
	Parent string
	// Leaving is true if the VM is about to stop.
	Leaving bool
	// Candidate is true if the VM is to replace the leader. It gets the batches from the leader itself, as a relay, so that a
	// relay that fails does not look like a leader that fails.
	Candidate bool
}

// Peer is a VM that accepts subscriptions.
type Peer struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Address string
}

// Assignment is a VM's place in the distribution of records.
type Assignment struct {
	// IsRelay is true if the leader sends batches to the VM for its children.
	IsRelay bool
	// Parents lists the VMs to subscribe to, the preferred one first. It is empty if the leader sends the batches.
	Parents []Peer
}

// Hash returns a number that identifies the assignment: 0 for the empty one, which VMs have while there are no relays.
func (a Assignment) Hash() uint32 {
	if !a.IsRelay && len(a.Parents) == 0 {
		return 0
	}
	digest := xxhash.New()
	if a.IsRelay {
		_, _ = digest.WriteString("relay")
	}
	for _, parent := range a.Parents {
		_, _ = digest.WriteString(parent.Name + "\x00" + parent.Address + "\x00")
	}
	sum := binary.BigEndian.AppendUint64(nil, digest.Sum64())
	return max(1, binary.BigEndian.Uint32(sum))
}

// Planner chooses relays and parents. It keeps earlier choices while they are good enough, so that few VMs change parents when
// members come and go. It is not safe for concurrent use.
type Planner struct {
	minMembers int
	active     bool
	// relays holds the present relays, parents the present parent of each other VM.
	relays  map[string]bool
	parents map[string]string
}

// NewPlanner returns a planner that uses relays from a number of members.
func NewPlanner(minMembers int) *Planner {
	return &Planner{minMembers: minMembers, relays: map[string]bool{}, parents: map[string]string{}}
}

// zonePlan holds the members of a zone in the order of their names, and its relays.
type zonePlan struct {
	members []Member
	relays  []Member
}

// Plan returns the assignment of each member but the leader, or an empty map if there are no relays.
func (p *Planner) Plan(now model.Instant, leader string, members []Member) map[string]Assignment {
	stop := int(math.Ceil(float64(p.minMembers) * stopRatio))
	p.active = len(members) >= p.minMembers || p.active && len(members) >= stop
	if !p.active {
		clear(p.relays)
		clear(p.parents)
		return map[string]Assignment{}
	}
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	p.adopt(members)
	zones, names := groupByZone(members)
	relays := map[string]Member{}
	for _, name := range names {
		zone := zones[name]
		zone.relays = p.chooseRelays(now, leader, zone.members, len(members))
		for _, relay := range zone.relays {
			relays[relay.Name] = relay
		}
	}
	if len(relays) == 0 {
		for _, name := range names {
			zones[name].relays = nil
		}
	}
	clear(p.relays)
	for name := range relays {
		p.relays[name] = true
	}
	return p.assign(leader, zones, names, relays)
}

// adopt takes over relays and parents from the reports, which is how the relays of a former leader stay.
func (p *Planner) adopt(members []Member) {
	known := make(map[string]bool, len(members))
	for i := range members {
		known[members[i].Name] = true
	}
	for i := range members {
		m := &members[i]
		if p.parents[m.Name] == "" && known[m.Parent] {
			p.parents[m.Name] = m.Parent
			p.relays[m.Parent] = true
		}
	}
	for name := range p.parents {
		if !known[name] {
			delete(p.parents, name)
		}
	}
}

func groupByZone(members []Member) (zones map[string]*zonePlan, names []string) {
	zones = map[string]*zonePlan{}
	for _, m := range members {
		if zones[m.Zone] == nil {
			zones[m.Zone] = &zonePlan{}
			names = append(names, m.Zone)
		}
		zones[m.Zone].members = append(zones[m.Zone].members, m)
	}
	slices.Sort(names)
	return zones, names
}

// chooseRelays returns the relays of a zone: about the square root of the number of all members, divided among the zones by their
// sizes. The leader then sends as many copies of a batch as each relay does.
func (p *Planner) chooseRelays(now model.Instant, leader string, zone []Member, all int) []Member {
	if len(zone) < minZoneMembers {
		return nil
	}
	maxLink := 0.0
	for i := range zone {
		maxLink = max(maxLink, zone[i].LinkMbps)
	}
	var eligible []Member
	for _, m := range zone {
		if m.Name != leader && m.Address != "" && !m.Leaving && now.Sub(m.ReportedAt) <= relayTTL &&
			m.LinkMbps >= maxLink*minRelayLinkRatio {
			eligible = append(eligible, m)
		}
	}
	want := max(minZoneRelays, int(math.Round(math.Sqrt(float64(all))*float64(len(zone))/float64(all))))
	present, candidates := 0, 0
	for _, m := range eligible {
		if p.relays[m.Name] {
			present++
		}
		if m.Candidate {
			candidates++
		}
	}
	count := min(len(eligible), max(want, candidates, min(present, int(float64(want)*surplusRatio))))
	slices.SortFunc(eligible, func(a, b Member) int {
		return cmp.Or(
			compareFlags(a.Candidate, b.Candidate), compareFlags(p.relays[a.Name], p.relays[b.Name]),
			cmp.Compare(hash(a.Name, ""), hash(b.Name, "")), cmp.Compare(a.Name, b.Name),
		)
	})
	return eligible[:count]
}

// compareFlags orders true before false.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// assign returns the assignments for the chosen relays.
func (p *Planner) assign(
	leader string, zones map[string]*zonePlan, names []string, relays map[string]Member,
) map[string]Assignment {
	plan := map[string]Assignment{}
	all := sortedMembers(relays)
	loads := newLoads(all)
	for _, name := range names {
		zone := zones[name]
		usable := zone.relays
		if len(usable) == 0 {
			usable = all
		}
		children := p.children(leader, zone.members, relays)
		loads.expect(usable, len(children))
		p.keepParents(children, usable, loads)
		for _, child := range children {
			if p.parents[child.Name] == "" && len(usable) > 0 {
				p.parents[child.Name] = loads.add(loads.least(child.Name, usable))
			}
			plan[child.Name] = Assignment{Parents: parentsOf(child.Name, p.parents[child.Name], usable, all)}
		}
	}
	for name := range relays {
		plan[name] = Assignment{IsRelay: true}
		delete(p.parents, name)
	}
	return plan
}

// children returns the members of a zone that get batches from a relay.
func (p *Planner) children(leader string, zone []Member, relays map[string]Member) []Member {
	var children []Member
	for _, m := range zone {
		if _, isRelay := relays[m.Name]; !isRelay && m.Name != leader && m.Address != "" {
			children = append(children, m)
		} else {
			delete(p.parents, m.Name)
		}
	}
	return children
}

// keepParents drops the parents of those children whose parent is no relay of theirs any more or has too many children.
func (p *Planner) keepParents(children, usable []Member, loads *loads) {
	isUsable := map[string]bool{}
	for _, relay := range usable {
		isUsable[relay.Name] = true
	}
	for _, child := range children {
		parent := p.parents[child.Name]
		if !isUsable[parent] || loads.isFull(parent) {
			delete(p.parents, child.Name)
			continue
		}
		loads.add(parent)
	}
}

func sortedMembers(members map[string]Member) []Member {
	sorted := make([]Member, 0, len(members))
	for _, m := range members {
		sorted = append(sorted, m)
	}
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}

// parentsOf returns the parents of a VM: the chosen one and the alternatives, which differ between the children of a relay.
func parentsOf(name, parent string, usable, all []Member) []Peer {
	var parents []Peer
	contains := func(relay string) bool {
		return slices.ContainsFunc(parents, func(p Peer) bool { return p.Name == relay })
	}
	add := func(candidates []Member, limit int) {
		for range limit {
			best, bestHash := -1, uint64(0)
			for i := range candidates {
				if rank := hash(name, candidates[i].Name); (best < 0 || rank < bestHash) && !contains(candidates[i].Name) {
					best, bestHash = i, rank
				}
			}
			if best < 0 {
				return
			}
			parents = append(parents, Peer{Name: candidates[best].Name, Address: candidates[best].Address})
		}
	}
	for _, relay := range usable {
		if relay.Name == parent {
			parents = append(parents, Peer{Name: relay.Name, Address: relay.Address})
		}
	}
	add(usable, alternativesInZone)
	if len(usable) < len(all) {
		zone := usable[0].Zone
		var outside []Member
		for _, relay := range all {
			if relay.Zone != zone {
				outside = append(outside, relay)
			}
		}
		add(outside, alternativesOutside)
	}
	return parents
}

// loads counts the children of each relay, weighted by the bandwidth of its link.
type loads struct {
	weight   map[string]float64
	children map[string]int
	limit    map[string]float64
}

func newLoads(relays []Member) *loads {
	l := &loads{weight: map[string]float64{}, children: map[string]int{}, limit: map[string]float64{}}
	for _, relay := range relays {
		// Relays of unknown bandwidth count alike.
		l.weight[relay.Name] = max(1, relay.LinkMbps)
	}
	return l
}

// expect raises the numbers of children that relays keep by their parts of further children.
func (l *loads) expect(relays []Member, children int) {
	total := 0.0
	for _, relay := range relays {
		total += l.weight[relay.Name]
	}
	for _, relay := range relays {
		l.limit[relay.Name] += math.Ceil(float64(children) * l.weight[relay.Name] / total * overloadRatio)
	}
}

func (l *loads) isFull(relay string) bool { return float64(l.children[relay]) >= l.limit[relay] }

// add counts a child of a relay and returns the relay.
func (l *loads) add(relay string) string {
	l.children[relay]++
	return relay
}

// least returns the relay with the fewest children for its bandwidth.
func (l *loads) least(child string, relays []Member) string {
	best := slices.MinFunc(relays, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(float64(l.children[a.Name]+1)/l.weight[a.Name], float64(l.children[b.Name]+1)/l.weight[b.Name]),
			cmp.Compare(hash(child, a.Name), hash(child, b.Name)),
		)
	})
	return best.Name
}
