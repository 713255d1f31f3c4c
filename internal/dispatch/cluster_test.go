package dispatch

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

var (
	clusterSeeds = flag.Uint64("cluster.seeds", 20, "number of seeds of the cluster test")
	clusterFirst = flag.Uint64("cluster.first", 1, "first seed of the cluster test")
)

// shortSeeds is the number of seeds with -short, for the race detector in CI.
const shortSeeds = 5

const tryHeader = "X-Try"

// cluster is three entry VMs, a network that delays and loses messages, and one target that arbitrates terms. The oracle
// is what the target ran and when each attempt was received.
type cluster struct {
	t   *testing.T
	mu  sync.Mutex
	rnd *rand.Rand
	vms map[model.VMID]*rig

	term      model.Term
	lessor    model.VMID
	since     time.Time
	previous  model.Term
	ran       map[model.RequestID]int
	notRun    map[model.RequestID]time.Time
	received  []time.Time
	outcomes  map[result.Outcome]int
	takeovers int
}

// chance draws from the seeded source; goroutines share it.
func (c *cluster) chance(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rnd.IntN(n)
}

// network is the Sender of one VM.
type network struct {
	c    *cluster
	from model.VMID
}

func (n network) Send(to model.VMID, m message.Message) error {
	if n.c.chance(20) == 0 {
		return fmt.Errorf("no connection")
	}
	if n.c.chance(20) == 0 {
		return nil
	}
	delay := time.Duration(n.c.chance(30)) * time.Millisecond
	if n.c.chance(10) == 0 {
		delay *= 100
	}
	time.AfterFunc(delay, func() { n.c.vms[to].OnMessage(n.from, m) })
	return nil
}

// Do is the target: it refuses lower terms, sheds load and breaks connections before or after running the request.
func (c *cluster) do(_ context.Context, _ target.Address, request target.Request, _ int) (target.Response, error) {
	time.Sleep(time.Duration(c.chance(40)) * time.Millisecond)
	fault := c.chance(8)
	if fault == 0 {
		return target.Response{}, target.ErrBroken.New("lost on the way")
	}
	if fault == 1 {
		return target.Response{NotRun: target.RefusedShed}, nil
	}
	if !c.run(request) {
		return target.Response{NotRun: target.RefusedTerm}, nil
	}
	time.Sleep(time.Duration(c.chance(900)) * time.Millisecond)
	if fault == 2 {
		return target.Response{}, target.ErrBroken.New("answer lost")
	}
	return target.Response{Status: 201}, nil
}

func (c *cluster) run(request target.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.Term.Less(c.term) {
		return false
	}
	try, _ := strconv.Atoi(request.Header.Get(tryHeader))
	id, _ := model.ParseRequestID(request.Header.Get("X-Id"))
	c.ran[id]++
	if c.ran[id] > 1 {
		c.t.Errorf("%s ran %d times", id, c.ran[id])
	}
	if said, found := c.notRun[id]; found && !c.received[try].After(said) {
		c.t.Errorf("%s ran after \"not run\" from an attempt received before it", id)
	}
	return true
}

// takeOver makes another VM the lessor. The old one learns of it only with its next table.
func (c *cluster) takeOver(next model.VMID) {
	c.mu.Lock()
	c.previous = c.term
	c.term.Rank++
	c.lessor, c.since = next, time.Now()
	c.takeovers++
	c.mu.Unlock()
	c.publish(next)
}

// publish gives one VM the current table.
func (c *cluster) publish(id model.VMID) {
	r := c.vms[id]
	table := r.newTable(c.lessor)
	table.VM = id
	table.PeerRegions = map[model.VMID]model.Region{self: "nh-seacoast", other: "nh-seacoast", far: "nh-seacoast"}
	table.Leases = nil
	if id == c.lessor {
		since := r.clock.Now().Add(-time.Since(c.since))
		lease := r.lease(9, 4)
		lease.Term = c.term
		lease.LocalEnd = r.clock.Now().Add(leaseLength)
		lease.Slots = map[model.Slot]route.SlotLease{keySlot: {Fence: 9, Since: since, Previous: c.previous}}
		table.Leases = map[model.TargetID]route.Lease{"review-1": lease}
	}
	r.SetTable(table)
}

// try is one attempt of a caller; the same ID may be under way at several VMs.
func (c *cluster) try(id model.RequestID, key string) {
	at := []model.VMID{self, other, far}[c.chance(3)]
	c.mu.Lock()
	number := len(c.received)
	c.received = append(c.received, time.Now())
	c.mu.Unlock()
	r := c.vms[at]
	request := r.request(keyed, false)
	request.RequestID, request.Key = &id, key
	request.Header = http.Header{tryHeader: {strconv.Itoa(number)}, "X-Id": {id.String()}}
	answer := r.Handle(ctx, request)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[answer.Outcome]++
	if answer.Outcome != result.NotRun {
		return
	}
	if c.ran[id] > 0 {
		c.t.Errorf("%s ran and is answered \"not run\" with code %d", id, answer.Code)
	}
	c.notRun[id] = time.Now()
}

func (c *cluster) play() {
	var callers sync.WaitGroup
	for step := range 400 {
		time.Sleep(25 * time.Millisecond)
		if step%24 == 0 {
			c.publish(c.lessor)
		}
		if c.chance(150) == 0 {
			c.takeOver([]model.VMID{self, other, far}[c.chance(3)])
		}
		if c.chance(10) == 0 {
			c.publish([]model.VMID{self, other, far}[c.chance(3)])
		}
		offset := time.Duration(c.chance(1400)-300) * time.Millisecond
		id := model.RequestIDAt(time.Now().Add(offset), uint64(step))
		for range 1 + c.chance(3) {
			pause := time.Duration(c.chance(3000)) * time.Millisecond
			callers.Go(func() {
				time.Sleep(pause)
				c.try(id, "k")
			})
		}
	}
	callers.Wait()
}

// TestClusterNeverRunsTwice guards against double runs and false "not run" while the lessor changes, the old one keeps
// serving on its old table, messages are late or lost and clocks differ by 250 ms.
func TestClusterNeverRunsTwice(t *testing.T) {
	total := map[result.Outcome]int{}
	seeds := *clusterSeeds
	if testing.Short() {
		seeds = min(seeds, shortSeeds)
	}
	for seed := *clusterFirst; seed < *clusterFirst+seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &cluster{
					t: t, rnd: rand.New(rand.NewPCG(seed, 1)), vms: map[model.VMID]*rig{}, lessor: self, since: time.Now().Add(-time.Minute),
					term: model.Term{Epoch: 3}, ran: map[model.RequestID]int{}, notRun: map[model.RequestID]time.Time{},
					outcomes: map[result.Outcome]int{},
				}
				skews := map[model.VMID]time.Duration{self: -125 * time.Millisecond, other: 0, far: 125 * time.Millisecond}
				for id, skew := range skews {
					r := newRig(t, func(o *Options) { o.Sender = network{c: c, from: id}; o.Workers = 64 })
					r.clock.skew = skew
					r.Clock = r.clock
					r.client.do = c.do
					r.client.renew = func() (target.RenewReply, error) { return target.RenewReply{Incarnation: 5}, nil }
					c.vms[id] = r
				}
				for id := range c.vms {
					c.publish(id)
				}
				c.play()
				for outcome, count := range c.outcomes {
					total[outcome] += count
				}
			})
		})
	}
	t.Logf("outcomes: %v", total)
	for _, outcome := range []result.Outcome{result.Ran, result.NotRun, result.Unknown} {
		require.NotZero(t, total[outcome], "the test must reach outcome %s", outcome)
	}
}
