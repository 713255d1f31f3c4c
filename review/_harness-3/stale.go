package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// The case stale: the store turns the leader away, while a zone is evacuated in which an instance crashes and starts again soon.
func init() { cases["stale"] = playStale }

const (
	staleVMs       = 3
	staleInstances = 8
	// evacuateAfter is how long after that a zone is evacuated.
	evacuateAfter = 300 * time.Millisecond
	// staleRounds is how often all that happens.
	staleRounds = 7
)

func playStale(w *world) (bool, error) {
	w.publish(route("drafts", "/drafts/", "upload", "review", 3*time.Second, 2), service("review", true), limits)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	instances := map[string]*instance{}
	for n := range staleInstances {
		address, err := freeAddress()
		if err != nil {
			return false, err
		}
		id := fmt.Sprintf("i-%d", n)
		i, err := w.startInstance(id, address, "-zone", []string{"seacoast-a", "seacoast-b"}[n%2], "-work", "30ms", "-keyed", "-service", "review")
		if err != nil {
			return false, err
		}
		instances[id] = i
	}
	var away [staleVMs]atomic.Bool
	for n := range staleVMs {
		store, err := w.serveStoreTo(&away[n])
		if err != nil {
			return false, err
		}
		if _, err := w.startGateway(fmt.Sprintf("front-%d", n+1), []string{"seacoast-a", "seacoast-b"}[n%2], map[string]string{"store-address": store}); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	for n := range 3 {
		c := w.newClient(fmt.Sprintf("c-%d", n), fmt.Sprintf("127.0.0.%d", 10+n))
		go repeat(ctx, 60, func() {
			c.send(ctx, w.gateways[rand.IntN(staleVMs)], request{method: "POST", path: "/drafts/x", body: []byte("d"), deadline: 3 * time.Second, key: rand.IntN(keys) + 1})
		})
	}
	time.Sleep(contact)
	for round := range staleRounds {
		leader, err := w.leader()
		if err != nil {
			return false, err
		}
		zone, id := []string{"seacoast-a", "seacoast-b"}[round%2], fmt.Sprintf("i-%d", round%staleInstances)
		if w.trouble {
			w.note("the store turns %s away, which leads", w.gateways[leader].name)
			away[leader].Store(true)
		}
		time.Sleep(evacuateAfter)
		w.evacuate(zone, true)
		time.Sleep(time.Duration(envInt("AFTER", 1200)) * time.Millisecond)
		if w.trouble {
			w.note("%s in %s crashes", id, zone)
			instances[id].kill()
			time.Sleep(time.Duration(envInt("DOWN", 150)) * time.Millisecond)
			if err := instances[id].start(); err != nil {
				return false, err
			}
		}
		time.Sleep(7 * time.Second)
		away[leader].Store(false)
		w.note("the store serves %s again", w.gateways[leader].name)
		w.evacuate(zone, false)
		time.Sleep(5 * time.Second)
	}
	cancel()
	time.Sleep(3 * time.Second)
	broken := judgeOwner(w)
	return judgeRuns(w) || broken, nil
}

// serveStoreTo returns an address at which one VM reaches the store. While away is true, the store rejects all calls with 429.
func (w *world) serveStoreTo(away *atomic.Bool) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, r *http.Request) {
			if away.Load() {
				writer.WriteHeader(http.StatusTooManyRequests)
				return
			}
			w.serveStore(writer, r)
		}))
	}()
	return listener.Addr().String(), nil
}

// evacuate asks that nothing more be sent to the instances of a zone, or takes that back.
func (w *world) evacuate(zone string, evacuated bool) {
	record := standin.Record{Key: "evacuate/" + zone}
	if evacuated {
		record.Value = []byte("{}")
	}
	w.store.Put(standin.StorePut{Topic: "keyed.op", Records: []standin.Record{record}})
	w.note("operator evacuates %s: %v", zone, evacuated)
}

// leader returns the number of the VM that became the leader last, as the logs tell.
func (w *world) leader() (int, error) {
	last, lastAt := -1, ""
	for n, g := range w.gateways {
		raw, err := os.ReadFile(g.logs)
		if err != nil {
			return 0, err
		}
		for _, line := range strings.Split(string(raw), "\n") {
			var entry struct {
				Message string `json:"msg"`
				Time    string `json:"time"`
			}
			if json.Unmarshal([]byte(line), &entry) == nil && strings.Contains(entry.Message, "this VM became the leader") && entry.Time > lastAt {
				last, lastAt = n, entry.Time
			}
		}
	}
	if last < 0 {
		return 0, errors.New("no VM leads")
	}
	return last, nil
}
