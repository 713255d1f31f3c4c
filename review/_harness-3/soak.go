package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// The case soak draws disturbances from SEED. It is for the search only.
func init() { cases["soak"] = playSoak }

func playSoak(w *world) (bool, error) {
	r := rand.New(rand.NewPCG(uint64(envInt("SEED", 1)), 7))
	kinds := os.Getenv("KINDS")
	config := []string{
		route("reads", "/reads/", "safe", "desk", 2*time.Second, 2), route("notices", "/notices/", "unsafe", "desk", 2*time.Second, 2),
		route("drafts", "/drafts/", "upload", "review", 3*time.Second, 2), service("desk", false), service("review", true), limits,
	}
	w.publish(config...)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var instances []*instance
	for n := range 8 {
		address, err := freeAddress()
		if err != nil {
			return false, err
		}
		args := []string{"-zone", []string{"seacoast-a", "seacoast-b"}[n/2%2], "-work", "30ms"}
		if n%2 == 1 {
			args = append(args, "-keyed", "-service", "review")
			if kinds == "late" || r.IntN(3) == 0 {
				args = append(args, "-late", "0.1")
			}
		}
		i, err := w.startInstance(fmt.Sprintf("i-%d", n), address, args...)
		if err != nil {
			return false, err
		}
		instances = append(instances, i)
	}
	for n := range 4 {
		if _, err := w.startGateway(fmt.Sprintf("front-%d", n+1), []string{"seacoast-a", "seacoast-b"}[n%2], nil); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	hot := &hotKeys{}
	for n := range 3 {
		c := w.newClient(fmt.Sprintf("c-%d", n), fmt.Sprintf("127.0.0.%d", 10+n))
		go repeat(ctx, 15, func() {
			c.send(ctx, w.gateways[rand.IntN(4)], request{method: "GET", path: "/reads/x", deadline: 2 * time.Second})
		})
		go repeat(ctx, 10, func() {
			c.send(ctx, w.gateways[rand.IntN(4)], request{method: "POST", path: "/notices/x", body: []byte("n"), deadline: 2 * time.Second})
		})
		go repeat(ctx, 25, func() {
			c.send(ctx, w.gateways[rand.IntN(4)], request{method: "POST", path: "/drafts/x", body: []byte("d"), deadline: 3 * time.Second, key: hot.draw() + 1})
		})
	}
	time.Sleep(2 * time.Second)
	var busy sync.WaitGroup
	down := make([]sync.Mutex, 4)
	downInstance := make([]sync.Mutex, 8)
	for end := time.Now().Add(time.Duration(envInt("LENGTH", 50)) * time.Second); time.Now().Before(end); {
		fault := r.IntN(10)
		n, m := r.IntN(4), r.IntN(8)
		d1, d2 := time.Duration(r.IntN(2000))*time.Millisecond, time.Duration(1000+r.IntN(5000))*time.Millisecond
		busy.Add(1)
		go func() {
			defer busy.Done()
			switch fault {
			case 0, 1, 2:
				w.drill(d1, d2, config)
			case 3, 4:
				restart(w, &down[n], n, d1, syscall.SIGKILL)
			case 5:
				var all sync.WaitGroup
				for n := range 4 {
					all.Add(1)
					go func() { defer all.Done(); restart(w, &down[n], n, d1, syscall.SIGKILL) }()
				}
				all.Wait()
			case 6:
				restart(w, &down[n], n, d1, syscall.SIGTERM)
			case 7:
				if !downInstance[m].TryLock() {
					return
				}
				defer downInstance[m].Unlock()
				instances[m].kill()
				time.Sleep(d1)
				_ = instances[m].start()
			case 8:
				hot.move()
			case 9:
				w.note("store loses answers")
				w.store.SetFault(standin.StoreFault{Mode: standin.StoreUp, LoseNextResponses: 3})
			}
		}()
		time.Sleep(time.Duration(300+r.IntN(4500)) * time.Millisecond)
	}
	busy.Wait()
	w.store.SetFault(standin.StoreFault{Mode: standin.StoreUp})
	broken := false
	for _, g := range w.gateways {
		for _, kind := range []request{{method: "GET", path: "/reads/p", deadline: 2 * time.Second}, {method: "POST", path: "/notices/p", deadline: 2 * time.Second}, {method: "POST", path: "/drafts/p", deadline: 3 * time.Second, key: 7}} {
			c := w.newClient("probe", "127.0.0.1")
			if await(25*time.Second, "", func() bool { return c.send(context.Background(), g, kind).status == 200 }) != nil {
				w.note("RECOVER: %s does not serve %s", g.name, kind.path)
				broken = true
			}
		}
	}
	cancel()
	time.Sleep(3 * time.Second)
	broken = judgeOwner(w) || broken
	broken = judgeRuns(w) || broken
	if broken {
		_ = os.CopyFS(fmt.Sprintf("/tmp/r/soak-%d-%d", envInt("SEED", 1), time.Now().Unix()), os.DirFS(w.dir))
	}
	return broken, nil
}

// hotKeys draws keys, half of them from a hot spot.
type hotKeys struct {
	mu   sync.Mutex
	spot int
}

func (h *hotKeys) move() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.spot = rand.IntN(keys - 200)
}

func (h *hotKeys) draw() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if rand.IntN(2) == 0 {
		return h.spot + rand.IntN(100)
	}
	return rand.IntN(keys)
}

var drilling sync.Mutex

// drill takes the store away for a moment and brings it back from a copy. What the operator and the instances wrote is written again.
func (w *world) drill(away, age time.Duration, config []string) {
	if !drilling.TryLock() {
		return
	}
	defer drilling.Unlock()
	w.note("drill: the store is away for %v and comes back from a copy that is %v old", away, age)
	w.store.SetFault(standin.StoreFault{Mode: standin.StoreUnresponsive})
	time.Sleep(away)
	w.store.Restore(age)
	w.store.SetFault(standin.StoreFault{Mode: standin.StoreUp})
	w.note("drill: the store is back in era %d", w.store.Era())
	time.Sleep(time.Second)
	w.version -= 2
	w.publish(config...)
	time.Sleep(2 * time.Second)
}

func restart(w *world, lock *sync.Mutex, n int, wait time.Duration, s syscall.Signal) {
	if !lock.TryLock() {
		return
	}
	defer lock.Unlock()
	g := w.gateways[n]
	g.signal(s)
	select {
	case <-g.exited:
	case <-time.After(7 * time.Second):
		w.note("HANG: %s does not end", g.name)
		g.kill()
	}
	time.Sleep(wait)
	_ = g.start()
}
