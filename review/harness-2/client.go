//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one client attempt and its answer.
type attempt struct {
	id     string
	kind   string
	sentAt time.Time
	// status is 0 if the connection ended without an answer.
	status int
	sealed bool
}

func (a *attempt) served() bool { return a.status >= 200 && a.status < 300 && a.sealed }

// clients send requests and collect their attempts. They retry once, on a new connection and within their deadline, as the pages say
// of clients: after a promise at the time given in Retry-After, safe requests after any failure.
type clients struct {
	d    *deployment
	kept *http.Client
	next atomic.Int64
	wg   sync.WaitGroup

	mu       sync.Mutex
	attempts []*attempt
}

func newClients(d *deployment) *clients {
	return &clients{d: d, kept: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}}
}

// load is a steady stream of requests of one kind.
type load struct {
	kind, method, path string
	perSecond          float64
	deadline           time.Duration
	// zone is the clients' zone; empty for clients in all zones.
	zone string
}

// send sends a stream of requests to the gateways in turn, until ctx ends.
func (c *clients) send(ctx context.Context, l load) {
	c.wg.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / l.perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			c.wg.Go(func() { c.request(l, n) })
		}
	})
}

// gateway returns one of the gateways in the zone of a stream's clients.
func (c *clients) gateway(l load, n int) *gateway {
	var eligible []*gateway
	for _, g := range c.d.gateways {
		if l.zone == "" || g.zone == l.zone {
			eligible = append(eligible, g)
		}
	}
	return eligible[n%len(eligible)]
}

// request sends one request with at most one retry, which goes to the next gateway.
func (c *clients) request(l load, n int) {
	deadline := time.Now().Add(l.deadline)
	first, wait := c.attempt(c.kept, l, c.gateway(l, n), deadline)
	if first.served() || first.status == http.StatusNotFound {
		return
	}
	if wait > time.Until(deadline)/3 {
		return
	}
	time.Sleep(wait)
	if time.Until(deadline) <= 0 {
		return
	}
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	c.attempt(fresh, l, c.gateway(l, n+1), deadline)
}

func (c *clients) attempt(client *http.Client, l load, g *gateway, deadline time.Time) (*attempt, time.Duration) {
	a := &attempt{id: fmt.Sprintf("%s-%d", l.kind, c.next.Add(1)), kind: l.kind, sentAt: time.Now()}
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, l.method, "http://"+g.callers+l.path, nil)
	if err != nil {
		return a, 0
	}
	request.Host = host
	request.Header.Set("X-Tarragonpoint-Attempt-Id", a.id)
	request.Header.Set("X-Tarragonpoint-Deadline-Ms", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	c.d.record.logf("client sends %s to %s, %d ms left", a.id, g.name, time.Until(deadline).Milliseconds())
	response, err := client.Do(request)
	if err != nil {
		c.d.record.logf("client gets no answer to %s: %v", a.id, err)
		return a, 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	seal := response.Header.Get("X-Tarragonpoint-Server-Seal")
	c.mu.Lock()
	a.status, a.sealed = response.StatusCode, err == nil && seal == "seal-"+a.id
	c.mu.Unlock()
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	c.d.record.logf("client gets %d for %s: %.40q, Retry-After %.3f s", response.StatusCode, a.id, body, seconds)
	return a, time.Duration(seconds * float64(time.Second))
}

// share returns how many attempts of a kind were sent between two instants, and the share of them that was served.
func (c *clients) share(kind string, from, to time.Time) (count int, served float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	good := 0
	for _, a := range c.attempts {
		if a.kind != kind || a.sentAt.Before(from) || a.sentAt.After(to) {
			continue
		}
		count++
		if a.served() {
			good++
		}
	}
	if count == 0 {
		return 0, 0
	}
	return count, float64(good) / float64(count)
}
