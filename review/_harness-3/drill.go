package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// The case drill: soon after the system's first start the store comes back from a copy that is some seconds old, and all VMs lose power.
func init() { cases["drill"] = playDrill }

// copyAge is the age of the copy from which the store comes back.
const copyAge = 6 * time.Second

func playDrill(w *world) (bool, error) {
	config := []string{route("drafts", "/drafts/", "upload", "review", 3*time.Second, 2), service("review", true), limits}
	w.publish(config...)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for n := range 6 {
		address, err := freeAddress()
		if err != nil {
			return false, err
		}
		if _, err := w.startInstance(fmt.Sprintf("i-%d", n), address, "-zone", []string{"seacoast-a", "seacoast-b"}[n%2], "-work", "30ms", "-keyed", "-service", "review"); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	for n := range 3 {
		if _, err := w.startGateway(fmt.Sprintf("front-%d", n+1), []string{"seacoast-a", "seacoast-b"}[n%2], nil); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	hot := &hotKeys{spot: 5000}
	for n := range 3 {
		c := w.newClient(fmt.Sprintf("c-%d", n), fmt.Sprintf("127.0.0.%d", 10+n))
		go repeat(ctx, 60, func() {
			c.send(ctx, w.gateways[rand.IntN(3)], request{method: "POST", path: "/drafts/x", body: []byte("d"), deadline: 3 * time.Second, key: hot.draw() + 1})
		})
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.note("drill: the store is away, and all VMs lose power")
		w.store.SetFault(standin.StoreFault{Mode: standin.StoreUnresponsive})
		var all sync.WaitGroup
		for _, g := range w.gateways {
			all.Add(1)
			go func() { defer all.Done(); g.kill() }()
		}
		all.Wait()
		time.Sleep(300 * time.Millisecond)
		w.store.Restore(copyAge)
		w.store.SetFault(standin.StoreFault{Mode: standin.StoreUp})
		w.note("drill: the store is back from a copy that is %v old, in era %d", copyAge, w.store.Era())
		for _, g := range w.gateways {
			if err := g.start(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(8 * time.Second)
	cancel()
	time.Sleep(3 * time.Second)
	broken := judgeOwner(w)
	return judgeRuns(w) || broken, nil
}
