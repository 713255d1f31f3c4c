package hub

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Guards against descriptors that stay open for good: each attempt to connect to a VM that is not the leader any more left an
// idle connection at both ends, several a second during an outage of the store.
func TestRejectedLinksLeaveNoConnection(t *testing.T) {
	isLeader := false
	server := NewServer(
		func() model.Instant { return 1 }, func() bool { return isLeader }, func(model.Instant) bool { return true }, func(Report) {},
		10*time.Second,
	)
	var mu sync.Mutex
	open, opened := map[net.Conn]bool{}, 0
	web := httptest.NewUnstartedServer(server)
	web.Config.ConnState = func(connection net.Conn, state http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		switch state {
		case http.StateNew:
			open[connection] = true
			opened++
		case http.StateClosed:
			delete(open, connection)
		default:
		}
	}
	web.Start()
	defer web.Close()
	address := strings.TrimPrefix(web.URL, "http://")
	const attempts = 20
	for range attempts {
		_, err := Dial(context.Background(), address)
		require.Error(t, err)
	}
	count := func() (int, int) {
		mu.Lock()
		defer mu.Unlock()
		return opened, len(open)
	}
	assert.Eventually(t, func() bool {
		dialed, left := count()
		return dialed == attempts && left == 0
	}, 10*time.Second, 10*time.Millisecond)

	isLeader = true
	client, err := Dial(context.Background(), address)
	require.NoError(t, err)
	defer client.Close()
	require.NoError(t, client.Send(context.Background(), Report{VM: "vm-1"}))
	push, err := client.Receive(context.Background())
	require.NoError(t, err)
	assert.Equal(t, 1, push.Position.VMs)
}
