package main

import (
	"fmt"
	"time"
)

func init() { cases["drain"] = lateReport }

// lateReport: an instance's `ready` report gets no answer and is carried out seconds later, after the instance has reported
// `draining`.
func lateReport(w *world) (string, error) {
	w.put("keyed.op", "config", configuration(3, []route{readsRoute, noticesRoute}, plainService("desk")))
	var all []*instance
	for n := range 5 {
		i := w.addInstance(fmt.Sprintf("i-%d", n), "desk", []string{"coast-a", "coast-b"}[n%2], 150*time.Millisecond)
		if err := i.start(0); err != nil {
			return "", err
		}
		all = append(all, i)
	}
	if err := w.startMachines(4); err != nil {
		return "", err
	}
	var stops []func()
	var clients []*client
	for _, m := range w.machines {
		c := w.newClient(m)
		clients = append(clients, c)
		stops = append(stops, c.load(28, func(n int) request {
			if n%3 == 0 {
				return request{method: "POST", path: "/notices/1", body: []byte("notice"), key: -1, deadline: 2500 * time.Millisecond}
			}
			return request{method: "GET", path: "/reads/1", key: -1, deadline: 2 * time.Second}
		}))
	}
	time.Sleep(3 * time.Second)
	x := all[0]
	// At this moment the store loses the answer to one write: a report of the instance. The store is undisturbed from then on.
	unanswered := time.Now()
	oldReport := x.statusReport()
	if w.trouble {
		w.add("the store gives no answer to this report of %s: %s", x.id, oldReport)
	} else {
		w.put("keyed.servers", x.id, oldReport)
	}
	time.Sleep(3050 * time.Millisecond)
	x.setState("draining")
	acknowledged := time.Now()
	w.add("the store has acknowledged that %s is draining", x.id)
	if w.trouble {
		// The store carries the write out 5 to 6 s after it arrived, between two reports of the instance.
		time.Sleep(time.Until(acknowledged.Add(2 * time.Second)))
		x.awaitReport()
		time.Sleep(30 * time.Millisecond)
		w.put("keyed.servers", x.id, oldReport)
		w.add("the store carries out the report of %s, %.3f s after it arrived", x.id, time.Since(unanswered).Seconds())
	}
	// The instance serves for drain (2 s) and a little longer, and exits.
	time.Sleep(time.Until(acknowledged.Add(3 * time.Second)))
	x.stop()
	w.add("%s exits", x.id)
	time.Sleep(2 * time.Second)
	for _, stop := range stops {
		stop()
	}
	var late []arrival
	for _, a := range x.arrived() {
		if a.at.Sub(acknowledged) > 2*time.Second {
			late = append(late, a)
			w.add("%s reached %s %.3f s after the acknowledgement, sent by its client at %.3f", a.id, x.id, a.at.Sub(acknowledged).Seconds(), a.sent.Sub(w.start).Seconds())
		}
	}
	isLate := map[string]bool{}
	for _, a := range late {
		isLate[a.id] = true
	}
	failed := 0
	for _, c := range clients {
		for _, a := range c.results() {
			if isLate[a.id] && a.status != 200 {
				failed++
				w.add("%s, sent to %s too late, was answered %d err=%v", a.id, x.id, a.status, a.err)
			}
		}
	}
	w.add("%d requests reached %s later than drain (2000 ms); %d of them failed", len(late), x.id, failed)
	if len(late) > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached %s later than 2 s after the acknowledgement that it is draining; %d of them failed", len(late), x.id, failed), nil
	}
	return "", nil
}

// startMachines starts entry machines in two zones and waits until they are ready.
func (w *world) startMachines(count int) error {
	for n := range count {
		m, err := w.addMachine(fmt.Sprintf("front-%d", n), []string{"coast-a", "coast-b"}[n%2])
		if err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}
