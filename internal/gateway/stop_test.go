package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stopOutcome is what a caller of a stopping VM got.
type stopOutcome struct {
	id     string
	sentAt time.Duration
	status int
	sealed bool
	err    error
}

// sendUntilGone sends requests one after the other, over a kept connection or over new ones, until no connection can be
// opened any more, and adds the outcomes.
func sendUntilGone(address, prefix string, keep bool, started time.Time, add func(stopOutcome)) {
	var socket net.Conn
	var reader *bufio.Reader
	for i := 0; ; i++ {
		if socket == nil {
			var err error
			if socket, err = net.DialTimeout("tcp4", address, time.Second); err != nil {
				return
			}
			reader = bufio.NewReader(socket)
		}
		outcome := stopOutcome{id: fmt.Sprint(prefix, "-", i), sentAt: time.Since(started)}
		_ = socket.SetDeadline(time.Now().Add(20 * time.Second))
		_, outcome.err = io.WriteString(socket, "POST /notices/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\n"+
			"X-Tarragonpoint-Deadline-Ms: 8000\r\nX-Tarragonpoint-Attempt-Id: "+outcome.id+"\r\n\r\nx")
		var response *http.Response
		if outcome.err == nil {
			response, outcome.err = http.ReadResponse(reader, nil)
		}
		if outcome.err == nil {
			_, outcome.err = io.Copy(io.Discard, response.Body)
			outcome.status, outcome.sealed = response.StatusCode, response.Header.Get("X-Tarragonpoint-Server-Seal") != ""
		}
		add(outcome)
		if outcome.err != nil || !keep || response.Close {
			_ = socket.Close()
			socket = nil
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against requests that a stopping VM takes and sends to a target, and cuts off at the end of its grace period: they
// get the target's response, or are rejected as not run. Callers send until the process is gone.
func TestRequestsLateInTheGracePeriodAreNotCut(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ grace, work time.Duration }{
		"long work":               {4 * time.Second, 1500 * time.Millisecond},
		"short work":              {4 * time.Second, 40 * time.Millisecond},
		"long work, short grace":  {1500 * time.Millisecond, 600 * time.Millisecond},
		"short work, short grace": {1500 * time.Millisecond, 40 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFixture(t)
			for _, target := range f.targets {
				target.SetWork(c.work)
			}
			g := f.newVM("vm-2")
			g.settings.Grace = c.grace
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- g.run(ctx) }()
			t.Cleanup(stop)
			require.Eventually(t, g.ready, settleTime, 10*time.Millisecond)
			for i := range 6 {
				require.Equal(t, http.StatusOK, f.sendTo(g, http.MethodPost, "/notices/1", fmt.Sprint("before-", i), "x").status)
			}
			var mu sync.Mutex
			var outcomes []stopOutcome
			var callers sync.WaitGroup
			started := time.Now()
			for i := range 4 {
				callers.Add(1)
				go func() {
					defer callers.Done()
					sendUntilGone(g.settings.ListenCallers, fmt.Sprint("caller-", i), i%2 == 0, started, func(o stopOutcome) {
						mu.Lock()
						defer mu.Unlock()
						outcomes = append(outcomes, o)
					})
				}()
			}
			time.Sleep(300 * time.Millisecond)
			stop()
			stoppedAt := time.Since(started)
			require.NoError(t, <-ended)
			callers.Wait()
			late := 0
			for _, o := range outcomes {
				runs := f.runs(o.id)
				after := o.sentAt - stoppedAt
				switch {
				case o.err != nil:
					assert.Zero(t, runs, "sent %s after the stop: no response (%v), and ran", after, o.err)
				case o.sealed:
					assert.Equal(t, 1, runs)
				default:
					assert.Equal(t, http.StatusServiceUnavailable, o.status, "sent %s after the stop", after)
					assert.Zero(t, runs, "sent %s after the stop: rejected, and ran", after)
				}
				if after > c.grace/4 {
					late++
				}
			}
			assert.NotZero(t, late, "no request came late")
		})
	}
}
