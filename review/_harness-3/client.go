package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// client sends requests from one loopback address.
type client struct {
	w    *world
	name string
	http *http.Client
}

// newClient returns a client that keeps its connections open. address is its loopback address.
func (w *world) newClient(name, address string) *client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}, Timeout: time.Second}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 64}
	return &client{w: w, name: name, http: &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// request is one attempt of a client.
type request struct {
	method, path, cookie string
	body                 []byte
	deadline             time.Duration
	// key is the key plus one; 0 for a request without one.
	key int
}

// answer is what the client got: a status, or 0 if its connection ended.
type answer struct {
	id         string
	status     int
	sealed     bool
	length     int
	retryAfter string
	err        error
}

var attempts atomic.Uint64

// send sends one attempt to a VM and records its answer.
func (c *client) send(ctx context.Context, g *gateway, r request) answer {
	a := answer{id: fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.Add(1))}
	ctx, cancel := context.WithTimeout(ctx, r.deadline)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, r.method, "http://"+g.callers+r.path, bytes.NewReader(r.body))
	if err != nil {
		a.err = err
		return a
	}
	call.Host = "ficu95.example"
	call.Header.Set("X-Tarragonpoint-Attempt-Id", a.id)
	call.Header.Set("X-Tarragonpoint-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	call.Header.Set("X-Caller", c.name)
	if r.cookie != "" {
		call.Header.Set("Cookie", r.cookie)
	}
	if r.key > 0 {
		call.Header.Set("X-Tarragonpoint-Shard-Key", fmt.Sprint(r.key-1))
	}
	c.w.add(event{At: time.Now().UnixMicro(), Event: "sent", ID: a.id, Path: r.path, Caller: c.name, Text: "to " + g.name})
	response, err := c.http.Do(call)
	if err != nil {
		a.err = err
	} else {
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.length, a.err = response.StatusCode, len(body), err
		a.sealed = response.Header.Get("X-Tarragonpoint-Server-Seal") != ""
		a.retryAfter = response.Header.Get("Retry-After")
	}
	text := fmt.Sprintf("status %d sealed %v, %d bytes", a.status, a.sealed, a.length)
	if a.retryAfter != "" {
		text += ", Retry-After " + a.retryAfter
	}
	if a.err != nil {
		text = fmt.Sprintf("no answer: %v", a.err)
	}
	c.w.add(event{At: time.Now().UnixMicro(), Event: "answer", ID: a.id, Path: r.path, Caller: c.name, Text: text})
	return a
}

// repeat calls send at a rate, each time in a goroutine of its own, until ctx ends.
func repeat(ctx context.Context, perSecond float64, send func()) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			go send()
		case <-ctx.Done():
			return
		}
	}
}

// hotKeys draws keys, half of them from a hot spot.
type hotKeys struct {
	mu   sync.Mutex
	spot int
}

func (h *hotKeys) draw() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if rand.IntN(2) == 0 {
		return h.spot + rand.IntN(100)
	}
	return rand.IntN(keys)
}
