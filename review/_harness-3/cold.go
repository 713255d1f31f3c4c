package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// The case cold: instances crash and start again soon, under the ID that they had, at the same address. They are cold then.
func init() { cases["cold"] = playCold }

const (
	coldTime = 3 * time.Second
	// coldLimit is warmup-per-s x warmup-factor + warmup-burst.
	coldLimit = 5.3*1.5 + 5
)

func playCold(w *world) (bool, error) {
	w.publish(route("listing", "/lohu930/", "safe", "desk", 2*time.Second, 2), service("desk", false), limits)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var instances []*instance
	count := envInt("INSTANCES", 6)
	for n := range count {
		address, err := freeAddress()
		if err != nil {
			return false, err
		}
		i, err := w.startInstance(fmt.Sprintf("i-%d", n), address, "-zone", []string{"seacoast-a", "seacoast-b"}[n%2], "-work", "160ms")
		if err != nil {
			return false, err
		}
		instances = append(instances, i)
	}
	for n := range envInt("VMS", 10) {
		if _, err := w.startGateway(fmt.Sprintf("front-%d", n+1), []string{"seacoast-a", "seacoast-b"}[n%2], nil); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	for n := range 6 {
		c := w.newClient(fmt.Sprintf("reader-%d", n), fmt.Sprintf("127.0.0.%d", 10+n))
		go repeat(ctx, float64(envInt("RATE", 90))/6, func() {
			c.send(ctx, w.gateways[rand.IntN(len(w.gateways))], request{method: "GET", path: "/lohu930/2f", deadline: 2 * time.Second})
		})
	}
	time.Sleep(8 * time.Second)
	for n := range 12 {
		if w.trouble {
			i := instances[n%count]
			i.kill()
			time.Sleep(time.Duration(envInt("DOWN", 300)) * time.Millisecond)
			if err := i.start("-cold", coldTime.String()); err != nil {
				return false, err
			}
		}
		time.Sleep(3500 * time.Millisecond)
	}
	return judgeCold(w, count), nil
}

// judgeCold reports whether a cold instance got more requests in one second than its limit.
func judgeCold(w *world, count int) bool {
	broken := false
	for n := range count {
		id := fmt.Sprintf("i-%d", n)
		var cold []int64
		most, at := 0, int64(0)
		for _, e := range w.all(func(e event) bool { return e.Instance == id && e.Event == "arrive" }) {
			if e.Text == "cold for 0 ms" {
				continue
			}
			cold = append(cold, e.At)
			for len(cold) > 0 && e.At-cold[0] >= time.Second.Microseconds() {
				cold = cold[1:]
			}
			if len(cold) > most {
				most, at = len(cold), e.At
			}
		}
		w.note("%s got at most %d requests in one second while it was cold (limit %.2f), at %.3f s", id, most, coldLimit, time.UnixMicro(at).Sub(w.started).Seconds())
		broken = broken || float64(most) > coldLimit
	}
	return broken
}
