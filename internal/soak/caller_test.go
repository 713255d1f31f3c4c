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

// requestTime is how long a caller waits for an answer.
const requestTime = 4 * time.Second

// caller sends one request after the other. It keeps its connections open until a VM closes them.
type caller struct {
	d      *deployment
	name   string
	random *rand.Rand
	client *http.Client
	next   atomic.Int64
}

func newCaller(d *deployment, name string, seed uint64) *caller {
	return &caller{
		d: d, name: name, random: rand.New(rand.NewPCG(seed, 1)),
		client: &http.Client{Transport: &http.Transport{}, Timeout: requestTime},
	}
}

// run sends requests of all kinds to all VMs until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		kind := []string{safe, unsafe, keyed}[c.random.IntN(3)]
		c.send(c.d.vms[c.random.IntN(len(c.d.vms))], kind)
		time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
	}
	c.client.CloseIdleConnections()
}

// send sends a request and checks its answer. It returns the status, or 0 without an answer.
func (c *caller) send(v *vm, kind string) int {
	id := fmt.Sprintf("%s-%d", c.name, c.next.Add(1))
	body := strings.Repeat("x", c.random.IntN(2000))
	path := "/" + kind + "/" + id
	asked := c.d.ledger.ask(id, kind)
	request, err := http.NewRequest(http.MethodPost, "http://"+v.callers+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "a.example"
	request.GetBody = nil // The client must not send a request again by itself.
	request.Header.Set("X-Tarragonpoint-Attempt-Id", id)
	request.Header.Set("X-Tarragonpoint-Deadline-Ms", strconv.FormatInt(requestTime.Milliseconds(), 10))
	request.Header.Set("X-Tarragonpoint-Shard-Key", strconv.Itoa(c.random.IntN(65536)))
	response, err := c.client.Do(request)
	if err != nil {
		c.d.ledger.told(asked, 0, true)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		c.d.ledger.told(asked, 0, true)
		return 0
	}
	c.judge(id, path, body, response, string(raw))
	c.d.ledger.told(asked, response.StatusCode, false)
	return response.StatusCode
}

// judge checks that a success is the whole answer to the caller's own request.
func (c *caller) judge(id, path, body string, response *http.Response, answer string) {
	if response.StatusCode != http.StatusOK {
		return
	}
	want := fmt.Sprintf("%s %s %d", id, path, len(body))
	if answer == want && response.Header.Get("X-Tarragonpoint-Server-Seal") == "seal-"+id {
		return
	}
	c.d.ledger.mu.Lock()
	defer c.d.ledger.mu.Unlock()
	c.d.ledger.violate("MIXED: request %s was answered %q", id, answer)
}
