package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// requestTimeout is how long a patient caller waits for a response.
	requestTimeout = 4 * time.Second
	// impatientShare is the share of an impatient caller's requests that it leaves after at most maxPatience.
	impatientShare = 0.4
	maxPatience    = 100 * time.Millisecond
)

// caller sends requests one after the other. It keeps its connections open until a VM closes them.
type caller struct {
	deployment *deployment
	name       string
	random     *rand.Rand
	// isImpatient is true for a caller that leaves some of its requests without a response.
	isImpatient bool
	client      *http.Client
	sent        atomic.Int64
}

// newCaller returns a caller that waits for its responses.
func newCaller(d *deployment, name string, seed uint64) *caller {
	return &caller{
		deployment: d, name: name, random: rand.New(rand.NewPCG(seed, 1)),
		client: &http.Client{Transport: &http.Transport{}, Timeout: requestTimeout},
	}
}

// newImpatientCaller returns a caller that leaves some of its requests without a response.
func newImpatientCaller(d *deployment, name string, seed uint64) *caller {
	c := newCaller(d, name, seed)
	c.random = rand.New(rand.NewPCG(seed, 2))
	c.isImpatient = true
	return c
}

// run sends requests of random kinds to random VMs until ctx is canceled.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		kind := []string{safe, unsafe, keyed}[c.random.IntN(3)]
		c.send(c.deployment.vms[c.random.IntN(len(c.deployment.vms))], kind)
		time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
	}
	c.client.CloseIdleConnections()
}

// send sends a request and checks its response. It returns the status, or 0 if there was no complete response.
func (c *caller) send(v *vm, kind string) int {
	id := fmt.Sprintf("%s-%d", c.name, c.sent.Add(1))
	body := strings.Repeat("x", c.random.IntN(2000))
	path := "/" + kind + "/" + id
	recorded := c.deployment.oracle.recordRequest(id, kind, v.name)
	request, err := http.NewRequest(http.MethodPost, "http://"+v.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "a.example"
	request.GetBody = nil // Keeps the client from retrying a request by itself.
	request.Header.Set("X-Tarragonpoint-Attempt-Id", id)
	request.Header.Set("X-Tarragonpoint-Deadline-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	request.Header.Set("X-Tarragonpoint-Shard-Key", strconv.Itoa(c.random.IntN(65536)))
	if c.isImpatient && c.random.Float64() < impatientShare {
		ctx, cancel := context.WithTimeout(request.Context(), time.Duration(c.random.Int64N(int64(maxPatience))))
		defer cancel()
		request = request.WithContext(ctx)
	}
	response, err := c.client.Do(request)
	if err != nil {
		c.deployment.oracle.recordDeparture(recorded)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		c.deployment.oracle.recordDeparture(recorded)
		return 0
	}
	c.checkResponse(id, path, body, response, string(raw))
	c.deployment.oracle.recordResponse(recorded, response.StatusCode)
	if response.Header.Get("Server-Leaving") != "" {
		c.deployment.oracle.recordAnnouncement(recorded, id)
	}
	return response.StatusCode
}

// checkResponse checks that a response with status 200 is complete and belongs to the request.
func (c *caller) checkResponse(id, path, body string, response *http.Response, responseBody string) {
	if response.StatusCode != http.StatusOK {
		return
	}
	want := fmt.Sprintf("%s %s %d", id, path, len(body))
	if responseBody == want && response.Header.Get("X-Tarragonpoint-Server-Seal") == "seal-"+id {
		return
	}
	c.deployment.oracle.mu.Lock()
	defer c.deployment.oracle.mu.Unlock()
	c.deployment.oracle.addViolation("MIXED: request %s got the unexpected response %q", id, responseBody)
}
