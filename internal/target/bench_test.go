package target_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// countingListener counts the bytes received and sent on all its connections, above TCP.
type countingListener struct {
	net.Listener
	received, sent atomic.Int64
}

type countingConn struct {
	net.Conn
	counts *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, counts: l}, nil
}

func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.counts.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counts.sent.Add(int64(n))
	return n, err
}

func startTarget(b *testing.B) *countingListener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	counting := &countingListener{Listener: listener}
	server := &httptest.Server{Listener: counting, Config: &http.Server{Handler: standin.NewTarget(standin.TargetOptions{})}}
	server.Start()
	b.Cleanup(server.Close)
	return counting
}

// BenchmarkRenew renews a lease with unchanged grants over loopback. It reports the bytes above TCP in each direction
// and the CPU time, which includes that of the stand-in target.
func BenchmarkRenew(b *testing.B) {
	listener := startTarget(b)
	client := &target.HTTPClient{}
	b.Cleanup(func() { _ = client.Stop(context.Background()) })
	address := target.Address(listener.Addr().String())
	ctx := context.Background()
	request := target.RenewRequest{Lessor: "entry-00000", Term: model.Term{Epoch: 2_000_000, Rank: 1}}
	first, err := client.Renew(ctx, address, request, false)
	require.NoError(b, err)
	request.Incarnation = first.Incarnation
	request.GrantsVersion = 1 << 63
	request.HasGrants = true
	request.ValidUntil = first.Clock.Add(time.Hour)
	_, err = client.Renew(ctx, address, request, false)
	require.NoError(b, err)
	request.HasGrants = false
	received, sent := listener.received.Load(), listener.sent.Load()
	cpu := processorTime()
	for b.Loop() {
		response, err := client.Renew(ctx, address, request, false)
		if err != nil || !response.Accepted {
			b.Fatal(err, response)
		}
	}
	calls := float64(b.N)
	b.ReportMetric(float64(listener.received.Load()-received)/calls, "request-B")
	b.ReportMetric(float64(listener.sent.Load()-sent)/calls, "reply-B")
	b.ReportMetric(float64((processorTime()-cpu).Microseconds())/calls, "cpu-us/op")
}

// processorTime returns the user and system CPU time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
