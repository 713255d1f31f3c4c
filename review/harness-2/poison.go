//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

const (
	poisonPath = "/listing/poison"
	// restartTime is how long a crashed instance is down: "the instance is back after some seconds".
	restartTime = 2 * time.Second
	// poisonInterval is the time between two of the client's attempts, and poisonFor how long it goes on.
	poisonInterval = 2 * time.Second
	poisonFor      = 40 * time.Second
	// allowedRetries is the number of retries that may reach instances later than contact after the third crash.
	allowedRetries = 3
	// poisonInstances is the number of instances, as many as alert-desk has in the zone with the most machines and its region's other one.
	poisonInstances = 10
)

// crashes records what a request did that crashes each instance that begins to run it.
type crashes struct {
	mu sync.Mutex
	// third is when the third instance crashed.
	third time.Time
	count int
	// late lists the attempts that reached an instance later than contact after the third crash.
	late map[string]bool
}

// reached records that an attempt has reached an instance, which crashes.
func (c *crashes) reached(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count++; c.count == 3 {
		c.third = time.Now()
	}
	if !c.third.IsZero() && time.Since(c.third) > contact {
		c.late[id] = true
	}
}

// poison sends a request that crashes each instance that begins to run it, and counts the attempts that still reach instances after it
// has crashed three (rule BUDGET). The request comes again with the same path, caller and body; its query is another one each time,
// unless QUERY=same.
func poison(d *deployment) (result, error) {
	seen := &crashes{late: map[string]bool{}}
	for n := range poisonInstances {
		if err := d.addInstance("alert-desk", d.zones[n%2], func(string) time.Duration { return listingWork }); err != nil {
			return result{}, err
		}
		i := d.instances[n]
		i.poisoned = func(id string) {
			if !d.trouble {
				return
			}
			d.record.logf("instance %s begins to run %s and crashes", i.id, id)
			seen.reached(id)
			i.crash()
		}
	}
	d.publish(listingRoute, listingDesk, limitsResource)
	for _, zone := range d.zones {
		if err := d.addGateway(zone); err != nil {
			return result{}, err
		}
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return result{}, err
	}
	c := newClients(d)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.send(ctx, load{kind: "listing", method: "GET", path: "/listing/2f", perSecond: 10, deadline: 2 * time.Second})
	time.Sleep(3 * time.Second)
	sent := 0
	for end := time.Now().Add(poisonFor); time.Now().Before(end); time.Sleep(poisonInterval) {
		query := fmt.Sprintf("?t=%d", time.Now().UnixMilli())
		if os.Getenv("QUERY") == "same" {
			query = "?t=1"
		}
		l := load{kind: "poison", method: "GET", path: poisonPath + query, deadline: 2 * time.Second}
		c.attempt(c.kept, l, d.gateways[sent%len(d.gateways)], time.Now().Add(l.deadline))
		sent++
	}
	cancel()
	time.Sleep(2 * time.Second)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	text := fmt.Sprintf("the request was sent %d times and crashed instances %d times; %d of its retries reached instances later than %v after the third crash",
		sent, seen.count, len(seen.late), contact)
	if len(seen.late) > allowedRetries {
		return result{broken: true, text: "BUDGET broken: " + text}, nil
	}
	return result{text: "BUDGET held: " + text}, nil
}

// crash ends the instance at once and starts it again after restartTime, with another ID, as its next incarnation.
func (i *instance) crash() {
	i.stop()
	i.mu.Lock()
	web := i.web
	i.mu.Unlock()
	_ = web.Close()
	go func() {
		time.Sleep(restartTime)
		i.d.store.Put(standin.StorePut{Topic: standin.RegistrationTopic, Records: []standin.Record{{Key: i.id}}})
		if err := i.restart(); err != nil {
			i.d.record.logf("instance %s does not start again: %v", i.id, err)
		}
	}()
}
