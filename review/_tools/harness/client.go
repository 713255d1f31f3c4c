package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// answer is the answer to one client attempt.
type answer struct {
	id       string
	machine  *machine
	sent, at time.Time
	status   int
	sealed   bool
	err      error
}

// request is one client attempt.
type request struct {
	method, path string
	body         []byte
	// stream, if set, is the body, of length bytes.
	stream   io.Reader
	length   int64
	key      int
	deadline time.Duration
}

// client sends requests over kept connections to one machine.
type client struct {
	w    *world
	m    *machine
	http *http.Client

	mu      sync.Mutex
	answers []answer
}

func (w *world) newClient(m *machine) *client {
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 256, IdleConnTimeout: 12 * time.Second, DisableCompression: true,
	}
	return &client{w: w, m: m, http: &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// send makes one attempt and records it. A POST is never repeated by the HTTP library.
func (c *client) send(r request) answer {
	id := fmt.Sprintf("%016x", attempts.Add(1))
	a := answer{id: id, machine: c.m, sent: time.Now()}
	outgoing, err := http.NewRequest(r.method, "http://"+c.m.front+r.path, io.NopCloser(bytes.NewReader(r.body)))
	if err != nil {
		a.err = err
		return a
	}
	outgoing.ContentLength = int64(len(r.body))
	switch {
	case r.stream != nil:
		outgoing.Body, outgoing.ContentLength = io.NopCloser(r.stream), r.length
	case len(r.body) == 0:
		outgoing.Body = http.NoBody
	}
	outgoing.Host = "a.example"
	outgoing.Header.Set("X-Tarragonpoint-Attempt-Id", id)
	outgoing.Header.Set("X-Tarragonpoint-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	outgoing.Header.Set("X-Review-Sent", strconv.FormatInt(a.sent.UnixNano(), 10))
	if r.key >= 0 {
		outgoing.Header.Set("X-Tarragonpoint-Shard-Key", strconv.Itoa(r.key))
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	outgoing = outgoing.WithContext(ctx)
	response, err := c.http.Do(outgoing)
	if err == nil {
		a.status, a.sealed = response.StatusCode, response.Header.Get("X-Tarragonpoint-Server-Seal") != ""
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	a.err, a.at = err, time.Now()
	c.w.add("%s: %s %s sent at %.3f answered %d err=%v", c.m.name, r.method, id, a.sent.Sub(c.w.start).Seconds(), a.status, err)
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	return a
}

func (c *client) results() []answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]answer(nil), c.answers...)
}

// load sends requests at a rate from now until the returned function is called, which waits for the last answer.
func (c *client) load(perSecond float64, next func(n int) request) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ticker.C:
			case <-done:
				return
			}
			running.Add(1)
			go func() {
				defer running.Done()
				c.send(next(n))
			}()
		}
	}()
	return func() {
		close(done)
		running.Wait()
	}
}
