//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	uploadRoute = `{"entry-kind":"routes","metadata":{"name":"uploads"},"spec":{"host":"ficu95.example","path-prefix":"/drafts/","kind":"upload","timeout":"2500ms","target-latency":"600ms","priority":1,"service":"alert-desk","max-attempts":2,"allowed-regions":[]}}`
	// crowd is the number of connections that upload piece by piece: somewhat more than the process accepts with the settings of the
	// site gls-alerts (284 MB, 4,100 descriptors).
	crowd = 1600
	// pieceInterval is the time between two pieces of a body, and uploadBytes its announced length.
	pieceInterval = 500 * time.Millisecond
	uploadBytes   = 60000
	// reconnectInterval is how long such a client waits before it opens another connection.
	reconnectInterval = 100 * time.Millisecond
	// ordinaryClients try new connections all the time, each tryInterval after the last try ended. The rule asks for seven.
	ordinaryClients = 10
	tryInterval     = 100 * time.Millisecond
	// connectTime is how long clients allow a new connection to be established, and until its request has been read.
	connectTime = time.Second
)

// try is one new connection of an ordinary client, and whether it was answered.
type try struct {
	client   int
	began    time.Time
	answered bool
}

// trickledUploads opens many connections whose clients send legal bodies piece by piece, and checks that the process, which says that
// it is ready, still takes new connections of ordinary clients (rule RECOVER).
func trickledUploads(d *deployment) (result, error) {
	for n := range 4 {
		if err := d.addInstance("alert-desk", d.zones[n%2], func(string) time.Duration { return listingWork }); err != nil {
			return result{}, err
		}
	}
	d.publish(listingRoute, uploadRoute, listingDesk, limitsResource)
	if err := d.addGateway(d.zones[0]); err != nil {
		return result{}, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return result{}, err
	}
	g := d.gateways[0]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := &ordinary{d: d, g: g}
	for n := range ordinaryClients {
		o.wg.Go(func() { o.run(ctx, n) })
	}
	ready := &readiness{g: g}
	o.wg.Go(func() { ready.run(ctx) })
	time.Sleep(5 * time.Second)
	var uploads sync.WaitGroup
	if d.trouble {
		d.record.logf("%d connections begin to upload %d bytes each, a byte every %v", crowd, uploadBytes, pieceInterval)
		for n := range crowd {
			uploads.Go(func() { upload(ctx, d, g, n) })
		}
	}
	time.Sleep(15 * time.Second)
	cancel()
	uploads.Wait()
	o.wg.Wait()
	return o.judge(ready)
}

// upload sends bodies piece by piece until ctx ends. When its connection is closed, it opens another one.
func upload(ctx context.Context, d *deployment, g *gateway, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		began := time.Now()
		err := uploadOnce(ctx, g, fmt.Sprintf("upload-%d-%d", n, i))
		if time.Since(began) > connectTime {
			d.record.logf("upload %d-%d ends after %.1f s: %v", n, i, time.Since(began).Seconds(), err)
		}
		time.Sleep(reconnectInterval)
	}
}

func uploadOnce(ctx context.Context, g *gateway, id string) error {
	dialer := net.Dialer{Timeout: connectTime}
	socket, err := dialer.DialContext(ctx, "tcp4", g.callers)
	if err != nil {
		return err
	}
	defer func() { _ = socket.Close() }()
	_, err = fmt.Fprintf(socket, "POST /drafts/2f HTTP/1.1\r\nHost: %s\r\nX-Tarragonpoint-Attempt-Id: %s\r\nX-Tarragonpoint-Deadline-Ms: 2500\r\nContent-Length: %d\r\n\r\n",
		host, id, uploadBytes)
	for err == nil && ctx.Err() == nil {
		time.Sleep(pieceInterval)
		_, err = socket.Write([]byte("b"))
	}
	return err
}

// ordinary is a number of clients that each open a new connection for each request.
type ordinary struct {
	d    *deployment
	g    *gateway
	wg   sync.WaitGroup
	next atomic.Int64

	mu    sync.Mutex
	tries []try
}

func (o *ordinary) run(ctx context.Context, client int) {
	for ctx.Err() == nil {
		began := time.Now()
		id := fmt.Sprintf("ordinary-%d", o.next.Add(1))
		status, err := o.once(id)
		o.d.record.logf("client %d, new connection, %s: status %d, %v", client, id, status, err)
		o.mu.Lock()
		o.tries = append(o.tries, try{client: client, began: began, answered: status != 0})
		o.mu.Unlock()
		time.Sleep(tryInterval)
	}
}

// once sends a request over a new connection and returns the status of its answer, whatever it is.
func (o *ordinary) once(id string) (int, error) {
	socket, err := net.DialTimeout("tcp4", o.g.callers, connectTime)
	if err != nil {
		return 0, err
	}
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(socket, "GET /listing/2f HTTP/1.1\r\nHost: %s\r\nX-Tarragonpoint-Attempt-Id: %s\r\nX-Tarragonpoint-Deadline-Ms: 2000\r\n\r\n", host, id); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(socket), nil)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// readiness asks the process every half second whether it is ready, as the platform does every second.
type readiness struct {
	g        *gateway
	mu       sync.Mutex
	notReady []time.Time
}

func (r *readiness) run(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		at := time.Now()
		response, err := client.Get("http://" + r.g.ready + "/readiness")
		if err != nil || response.StatusCode != http.StatusOK {
			r.mu.Lock()
			r.notReady = append(r.notReady, at)
			r.mu.Unlock()
		}
		if err == nil {
			_ = response.Body.Close()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (r *readiness) within(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range r.notReady {
		if !at.Before(from) && !at.After(to) {
			return false
		}
	}
	return true
}

// judge looks for a span of contact in which the process said that it is ready and no try of at least seven clients was answered.
func (o *ordinary) judge(ready *readiness) (result, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.tries) == 0 {
		return result{}, errors.New("no client tried")
	}
	answered, worst, worstFrom, worstTries := 0, time.Duration(0), time.Time{}, 0
	for _, t := range o.tries {
		if t.answered {
			answered++
			continue
		}
		// The span begins with this try and ends before the next try that is answered.
		end := time.Now()
		for _, other := range o.tries {
			if other.answered && other.began.After(t.began) && other.began.Before(end) {
				end = other.began
			}
		}
		clients, count, last := map[int]bool{}, 0, t.began
		for _, other := range o.tries {
			if !other.began.Before(t.began) && other.began.Before(end) {
				clients[other.client], count = true, count+1
				if other.began.After(last) {
					last = other.began
				}
			}
		}
		if length := last.Sub(t.began); len(clients) >= 7 && length > worst && ready.within(t.began, last) {
			worst, worstFrom, worstTries = length, t.began, count
		}
	}
	text := fmt.Sprintf("%d of %d new connections of %d ordinary clients were answered", answered, len(o.tries), ordinaryClients)
	if worst >= contact {
		return result{broken: true, text: fmt.Sprintf("RECOVER broken. %s; the process was ready, and none of %d was in a span of %.1f s from %.3f",
			text, worstTries, worst.Seconds(), worstFrom.Sub(o.d.record.started).Seconds())}, nil
	}
	return result{text: fmt.Sprintf("RECOVER held. %s; the longest span without one was %.1f s", text, worst.Seconds())}, nil
}
