package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["owner"] = serviceReturns }

// serviceReturns: instances are added to a keyed service, and while their first keys are on the way to them, the only route
// of the service is removed, with the service, and added again.
func serviceReturns(w *world) (string, error) {
	full := func(version int) string {
		return configuration(version, []route{readsRoute, feedsRoute}, plainService("desk"), shardedService("review"))
	}
	w.put("keyed.op", "config", full(3))
	if err := w.addInstance("i-0", "desk", "coast-a", 150*time.Millisecond).start(0); err != nil {
		return "", err
	}
	start := func(id, zone string, cold time.Duration) (*instance, error) {
		i := w.addInstance(id, "review", zone, 1200*time.Millisecond)
		i.sharded, i.slots = true, 24
		return i, i.start(cold)
	}
	zones := []string{"coast-a", "coast-b"}
	for n := range 4 {
		if _, err := start(fmt.Sprintf("r-%d", n), zones[n%2], 0); err != nil {
			return "", err
		}
	}
	if err := w.startMachines(3); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	var stops []func()
	for _, m := range w.machines {
		stops = append(stops, w.newClient(m).load(14, func(int) request {
			return request{method: "GET", path: "/feeds/1", key: rand.IntN(65536), deadline: 8 * time.Second}
		}))
	}
	time.Sleep(6 * time.Second)
	added, err := start("r-new", zones[0], 3*time.Second)
	if err != nil {
		return "", err
	}
	w.add("r-new starts, cold for 3 s")
	time.Sleep(3 * time.Second)
	w.add("r-new is warm")
	if !waitUntil(10*time.Second, func() bool { return w.releasesSince(added.startedAt) > 0 }) {
		return "", fmt.Errorf("no keys move to r-new")
	}
	w.add("the first release since r-new is warm")
	for version := 5; version <= 17; version += 6 {
		if w.trouble {
			w.put("keyed.op", "config", configuration(version, []route{readsRoute}, plainService("desk")))
			w.add("configuration r%d without the route of review, and without review", version)
		} else {
			w.put("keyed.op", "config", full(version))
			w.add("configuration r%d with the route of review", version)
		}
		time.Sleep(330 * time.Millisecond)
		w.put("keyed.op", "config", full(version+3))
		w.add("configuration r%d with the route of review", version+3)
		time.Sleep(330 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	for _, stop := range stops {
		stop()
	}
	broken := w.sharedKeys()
	for _, text := range broken {
		w.add("%s", text)
	}
	if len(broken) > 0 {
		return "OWNER: " + broken[0], nil
	}
	return "", nil
}
