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

// shortSeeds is the number of seeds with -short, which CI uses with the race detector.
const shortSeeds = 5

const attemptHeader = "X-Try"

// cluster simulates three entry VMs, a network that delays and loses messages, and one target that refuses stale terms.
// The oracle consists of the requests that the target ran and the times at which attempts were received.
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

// randN returns a number below n from the seeded source, which all goroutines share.
func (c *cluster) randN(n int) int {
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
	if n.c.randN(20) == 0 {
		return fmt.Errorf("no connection")
	}
	if n.c.randN(20) == 0 {
		return nil
	}
	delay := time.Duration(n.c.randN(30)) * time.Millisecond
	if n.c.randN(10) == 0 {
		delay *= 100
	}
	time.AfterFunc(delay, func() { n.c.vms[to].OnMessage(n.from, m) })
	return nil
}

// do simulates the target: it refuses lower terms, sheds load and breaks connections before or after running the
// request.
func (c *cluster) do(_ context.Context, _ target.Address, request target.Request, _ int) (target.Response, error) {
	time.Sleep(time.Duration(c.randN(40)) * time.Millisecond)
	fault := c.randN(8)
	if fault == 0 {
		return target.Response{}, target.ErrBroken.New("connection broke before the request ran")
	}
	if fault == 1 {
		return target.Response{NotRun: target.RefusedShed}, nil
	}
	if !c.execute(request) {
		return target.Response{NotRun: target.RefusedTerm}, nil
	}
	time.Sleep(time.Duration(c.randN(900)) * time.Millisecond)
	if fault == 2 {
		return target.Response{}, target.ErrBroken.New("connection broke before the response")
	}
	return target.Response{Status: 201}, nil
}

func (c *cluster) execute(request target.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.Term.Less(c.term) {
		return false
	}
	attempt, _ := strconv.Atoi(request.Header.Get(attemptHeader))
	id, _ := model.ParseRequestID(request.Header.Get("X-Id"))
	c.ran[id]++
	if c.ran[id] > 1 {
		c.t.Errorf("%s ran %d times", id, c.ran[id])
	}
	if reportedAt, found := c.notRun[id]; found && !c.received[attempt].After(reportedAt) {
		c.t.Errorf("%s was reported as \"not run\" and then ran for an attempt that was received before the report", id)
	}
	return true
}

// takeOver makes another VM the lessor. The previous lessor is informed only by its next table.
func (c *cluster) takeOver(next model.VMID) {
	c.mu.Lock()
	c.previous = c.term
	c.term.Rank++
	c.lessor, c.since = next, time.Now()
	c.takeovers++
	c.mu.Unlock()
	c.publish(next)
}

// publish sets the current table at one VM.
func (c *cluster) publish(id model.VMID) {
	r := c.vms[id]
	table := r.newTable(c.lessor)
	table.VM = id
	table.PeerRegions = map[model.VMID]model.Region{self: "nh-seacoast", other: "nh-seacoast", remote: "nh-seacoast"}
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

// sendRequest sends one attempt of a caller to a random VM. Attempts with one ID may run concurrently at several VMs.
func (c *cluster) sendRequest(id model.RequestID, key string) {
	vm := []model.VMID{self, other, remote}[c.randN(3)]
	c.mu.Lock()
	attempt := len(c.received)
	c.received = append(c.received, time.Now())
	c.mu.Unlock()
	r := c.vms[vm]
	request := r.request(keyed, false)
	request.RequestID, request.Key = &id, key
	request.Header = http.Header{attemptHeader: {strconv.Itoa(attempt)}, "X-Id": {id.String()}}
	response := r.Handle(ctx, request)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[response.Outcome]++
	if response.Outcome != result.NotRun {
		return
	}
	if c.ran[id] > 0 {
		c.t.Errorf("%s ran but was reported as \"not run\" with code %d", id, response.Code)
	}
	c.notRun[id] = time.Now()
}

func (c *cluster) runLoad() {
	var callers sync.WaitGroup
	for step := range 400 {
		time.Sleep(25 * time.Millisecond)
		if step%24 == 0 {
			c.publish(c.lessor)
		}
		if c.randN(150) == 0 {
			c.takeOver([]model.VMID{self, other, remote}[c.randN(3)])
		}
		if c.randN(10) == 0 {
			c.publish([]model.VMID{self, other, remote}[c.randN(3)])
		}
		offset := time.Duration(c.randN(1400)-300) * time.Millisecond
		id := model.RequestIDAt(time.Now().Add(offset), uint64(step))
		for range 1 + c.randN(3) {
			pause := time.Duration(c.randN(3000)) * time.Millisecond
			callers.Go(func() {
				time.Sleep(pause)
				c.sendRequest(id, "k")
			})
		}
	}
	callers.Wait()
}

// TestClusterNeverRunsTwice guards against requests that run twice and against a false "not run" while the lessor
// changes, the previous lessor keeps serving with its old table, messages are delayed or lost, and clocks differ by
// 250 ms.
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
				skews := map[model.VMID]time.Duration{self: -125 * time.Millisecond, other: 0, remote: 125 * time.Millisecond}
				for id, skew := range skews {
					r := newRig(t, func(o *Options) { o.Sender = network{c: c, from: id}; o.Workers = 64 })
					r.clock.skew = skew
					r.Clock = r.clock
					r.client.do = c.do
					r.client.renew = func() (target.RenewResponse, error) { return target.RenewResponse{Incarnation: 5}, nil }
					c.vms[id] = r
				}
				for id := range c.vms {
					c.publish(id)
				}
				c.runLoad()
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
