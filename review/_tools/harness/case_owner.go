package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
)

func init() { cases["owner"] = serviceReturns }

// isNextOwner reports whether the newest assignment has an instance as the owner of keys that others may still hold.
func (w *world) isNextOwner(id string) bool {
	response, err := http.Get("http://" + w.storeAddr + "/log-newest?topic=keyed.tarragonpoint&part=0")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var page struct {
		Items []struct {
			Value  []byte `json:"value"`
			Offset uint64 `json:"offset"`
		} `json:"items"`
	}
	if json.NewDecoder(response.Body).Decode(&page) != nil {
		return false
	}
	for _, item := range page.Items {
		table, err := keyspace.DecodeTable(item.Value, item.Offset)
		if err != nil {
			continue
		}
		for _, r := range table.Ranges {
			if string(r.Owner.Incarnation.ID) == id && len(r.Previous) > 0 {
				return true
			}
		}
	}
	return false
}

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
		i.sharded, i.slots = true, 32
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
		stops = append(stops, w.newClient(m).load(22, func(int) request {
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
	if !waitUntil(10*time.Second, func() bool { return w.isNextOwner(added.id) }) {
		return "", fmt.Errorf("no keys move to r-new")
	}
	w.add("the assignment in the store has r-new as the next owner of some keys")
	if w.trouble {
		w.put("keyed.op", "config", configuration(5, []route{readsRoute}, plainService("desk")))
		w.add("configuration r5 without the route of review, and without review")
	} else {
		w.put("keyed.op", "config", full(5))
		w.add("configuration r5 with the route of review")
	}
	time.Sleep(330 * time.Millisecond)
	w.put("keyed.op", "config", full(8))
	w.add("configuration r8 with the route of review")
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
