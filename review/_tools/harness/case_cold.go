package main

import (
	"fmt"
	"time"
)

func init() { cases["cold"] = coldAgain }

// coldBound is warmup-per-s x warmup-factor + warmup-burst, in requests per second over all machines.
const coldBound = 5.3*1.5 + 5

// coldAgain: an instance that is still cold after its start becomes cold again.
func coldAgain(w *world) (string, error) {
	w.put("keyed.op", "config", configuration(3, []route{readsRoute, noticesRoute}, plainService("desk")))
	for n := range 4 {
		i := w.addInstance(fmt.Sprintf("i-%d", n), "desk", []string{"coast-a", "coast-b"}[n%2], 150*time.Millisecond)
		if err := i.start(0); err != nil {
			return "", err
		}
	}
	if err := w.startMachines(4); err != nil {
		return "", err
	}
	var stops []func()
	var clients []*client
	for _, m := range w.machines {
		c := w.newClient(m)
		clients = append(clients, c)
		stops = append(stops, c.load(29, func(n int) request {
			if n%4 == 0 {
				return request{method: "POST", path: "/notices/1", body: []byte("notice"), key: -1, deadline: 2500 * time.Millisecond}
			}
			return request{method: "GET", path: "/reads/1", key: -1, deadline: 2 * time.Second}
		}))
	}
	time.Sleep(2 * time.Second)
	x := w.addInstance("i-new", "desk", "coast-a", 150*time.Millisecond)
	started := time.Now()
	if err := x.start(3 * time.Second); err != nil {
		return "", err
	}
	w.add("%s starts and is cold for 3 s", x.id)
	coldEnd := started.Add(3 * time.Second)
	if w.trouble {
		time.Sleep(2300 * time.Millisecond)
		coldEnd = time.Now().Add(3 * time.Second)
		x.mu.Lock()
		x.coldUntil = coldEnd
		x.mu.Unlock()
		w.add("%s becomes cold again, for 3 s", x.id)
	}
	time.Sleep(time.Until(coldEnd) + 500*time.Millisecond)
	for _, stop := range stops {
		stop()
	}
	arrivals := x.arrived()
	most, at := 0, time.Time{}
	for _, first := range arrivals {
		count := 0
		begin := first.sent
		for _, a := range arrivals {
			if !a.sent.Before(begin) && a.at.Before(begin.Add(time.Second)) && a.at.Before(coldEnd) {
				count++
			}
		}
		if count > most {
			most, at = count, begin
		}
	}
	for _, a := range arrivals {
		if a.at.Before(coldEnd) {
			w.add("%s reached %s %.3f s after its start, while it was cold", a.id, x.id, a.at.Sub(started).Seconds())
		}
	}
	ran := map[string]bool{}
	for _, a := range arrivals {
		ran[a.id] = a.ran
	}
	lost := 0
	for _, c := range clients {
		for _, a := range c.results() {
			if ran[a.id] && a.status != 200 {
				lost++
				w.add("%s ran at %s and was answered %d err=%v", a.id, x.id, a.status, a.err)
			}
		}
	}
	w.add("%d requests that %s had begun were lost", lost, x.id)
	w.add("most requests in one second while %s was cold: %d, from %.3f s; bound %.2f", x.id, most, at.Sub(w.start).Seconds(), coldBound)
	if float64(most) > coldBound {
		return fmt.Sprintf("FAILBACK: %d requests reached the cold instance %s in one second; the bound is %.2f; %d requests that it had begun were lost", most, x.id, coldBound, lost), nil
	}
	return "", nil
}
