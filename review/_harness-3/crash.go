package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// The case crash: a request of one caller crashes the instances that run it, while other callers send ordinary requests with the same
// path, which have no body either.
func init() {
	cases["crash"] = func(w *world) (bool, error) {
		return playCrash(w, deadly{method: "GET", path: "/lohu930/2f", shared: true})
	}
	cases["crash-alone"] = func(w *world) (bool, error) { return playCrash(w, deadly{method: "GET", path: "/lohu930/2f"}) }
	cases["late-crash"] = func(w *world) (bool, error) {
		return playCrash(w, deadly{method: "GET", path: "/lohu930/2f?exhausts-ms=1600"})
	}
}

// deadly is the request that crashes instances. shared is true if other callers send ordinary requests with the same path.
type deadly struct {
	method, path string
	shared       bool
}

const (
	// crashedBack is how long an instance is gone after a crash.
	crashedBack = 2 * time.Second
	// deadlyRetries is the number of retries that BUDGET allows later than contact after the third crash.
	deadlyRetries = 3
)

func playCrash(w *world, d deadly) (bool, error) {
	w.publish(route("listing", "/lohu930/", "safe", "desk", time.Second, 2), service("desk", false), limits)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for n := range 8 {
		if err := keepInstance(ctx, w, n); err != nil {
			return false, err
		}
	}
	for n := range 3 {
		if _, err := w.startGateway(fmt.Sprintf("front-%d", n+1), []string{"seacoast-a", "seacoast-b"}[n%2], nil); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact)
	path := "/lohu930/3a"
	if d.shared {
		path = d.path
	}
	for n := range 6 {
		c := w.newClient(fmt.Sprintf("reader-%d", n), fmt.Sprintf("127.0.0.%d", 10+n))
		go repeat(ctx, 5, func() {
			c.send(ctx, w.gateways[rand.IntN(len(w.gateways))], request{method: "GET", path: path, deadline: 2 * time.Second})
		})
	}
	time.Sleep(2 * time.Second)
	cookie := ""
	if w.trouble {
		cookie = "draft=broken"
	}
	c := w.newClient("deadly", "127.0.0.99")
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(1500 * time.Millisecond) {
		c.send(ctx, w.gateways[rand.IntN(len(w.gateways))], request{method: d.method, path: d.path, cookie: cookie, deadline: 2 * time.Second})
	}
	return judgeCrash(w), nil
}

// keepInstance starts an instance and starts it again under a new ID after each crash, until ctx ends.
func keepInstance(ctx context.Context, w *world, n int) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	start := func(life int) (*instance, error) {
		return w.startInstance(fmt.Sprintf("i-%d%02d", n, life), address, "-zone", []string{"seacoast-a", "seacoast-b"}[n%2])
	}
	i, err := start(0)
	if err != nil {
		return err
	}
	go func() {
		for life := 1; ctx.Err() == nil; life++ {
			<-i.hasExited()
			sleep(ctx, crashedBack)
			if ctx.Err() != nil {
				return
			}
			if i, err = start(life); err != nil {
				w.note("an instance does not start: %v", err)
				return
			}
		}
	}()
	return nil
}

// judgeCrash reports whether the deadly request reached instances in more than three retries later than contact after it had crashed
// the third.
func judgeCrash(w *world) bool {
	crashes := w.all(func(e event) bool { return e.Event == "crash" })
	w.note("%d instances crashed under the deadly request", len(crashes))
	if len(crashes) < 3 {
		return false
	}
	bound := crashes[2].At + contact.Microseconds()
	sentAt := map[string]int64{}
	for _, e := range w.all(func(e event) bool { return e.Event == "sent" && e.Caller == "deadly" }) {
		sentAt[e.ID] = e.At
	}
	late := map[string]bool{}
	for _, e := range w.all(func(e event) bool { return e.Event == "arrive" && e.Caller == "deadly" }) {
		if sentAt[e.ID] > bound {
			late[e.ID] = true
		}
	}
	w.note("third crash at %.3f s; later than %v after it, %d retries reached instances (allowed: %d)",
		time.UnixMicro(crashes[2].At).Sub(w.started).Seconds(), contact, len(late), deadlyRetries)
	return len(late) > deadlyRetries
}
