package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

type host string

func (h host) PlatformURL() string { return string(h) }

func startLog(t *testing.T, options standin.LogOptions) (*standin.Log, *platform.HTTPLog) {
	service := standin.NewLog(options)
	server, err := standin.Listen("127.0.0.1:0", service)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	client := &platform.HTTPLog{}
	require.NoError(t, client.Provision(host(server.URL())))
	t.Cleanup(func() { _ = client.Stop(context.Background()) })
	return service, client
}

// Guards against an append that is silently sent again when its answer is lost: the caller must learn that the
// outcome is unclear, and the log must hold one record.
func TestAppendWithLostAnswerIsUnavailableAndStoredOnce(t *testing.T) {
	service, client := startLog(t, standin.LogOptions{})
	ctx := context.Background()
	_, err := client.Append(ctx, record.ConfigStream, []byte("first"))
	require.NoError(t, err)
	service.SetFault(standin.LogFault{Mode: standin.LogUp, LoseNextAnswers: 1})
	_, err = client.Append(ctx, record.ConfigStream, []byte("second"))
	require.True(t, errorx.IsOfType(err, platform.ErrUnavailable), "%v", err)
	reply, err := client.Read(ctx, record.ConfigStream, 2, 10, 0)
	require.NoError(t, err)
	require.Len(t, reply.Records, 1)
	require.Equal(t, "second", string(reply.Records[0].Data))
}

// Guards against an expired offset that looks like an outage, and against a lost Oldest.
func TestReadOfExpiredOffsetNamesTheOldest(t *testing.T) {
	_, client := startLog(t, standin.LogOptions{KeepRecords: 2})
	for range 5 {
		_, err := client.Append(context.Background(), record.AssignStream, []byte("x"))
		require.NoError(t, err)
	}
	reply, err := client.Read(context.Background(), record.AssignStream, 1, 10, 0)
	require.True(t, errorx.IsOfType(err, platform.ErrExpired), "%v", err)
	require.Equal(t, model.Offset(4), reply.Oldest)
}

// Guards against answers that would skip records, exhaust memory, or pass for an empty list of VMs.
func TestMalformedAnswersAreUnavailable(t *testing.T) {
	bodies := []string{
		`{"records":[{"offset":7}]}`, `{"offset":0`, `{}` + strings.Repeat(" ", 2000), "",
	}
	for _, body := range bodies {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		log := &platform.HTTPLog{URL: server.URL, MaxAnswer: 1000}
		require.NoError(t, log.Provision(nil))
		_, err := log.Read(context.Background(), record.ConfigStream, 3, 10, 0)
		require.True(t, errorx.IsOfType(err, platform.ErrUnavailable), "%q: %v", body, err)
		vms := &platform.HTTPVMList{URL: server.URL, MaxAnswer: 1000}
		require.NoError(t, vms.Provision(nil))
		_, err = vms.List(context.Background())
		require.True(t, errorx.IsOfType(err, platform.ErrUnavailable), "%q: %v", body, err)
		server.Close()
	}
}

// Guards against a call that hangs for as long as a silent service does.
func TestSilentServiceEndsByTimeout(t *testing.T) {
	service, _ := startLog(t, standin.LogOptions{})
	server, err := standin.Listen("127.0.0.1:0", service)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	relay, err := standin.NewRelay(server.Address)
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	relay.SetSilent(true)
	client := &platform.HTTPLog{URL: "http://" + relay.Address, Timeout: 30 * time.Millisecond}
	require.NoError(t, client.Provision(nil))
	_, err = client.Append(context.Background(), record.ConfigStream, []byte("x"))
	require.True(t, errorx.IsOfType(err, platform.ErrUnavailable), "%v", err)
}

func TestProvisionRefusesUnusableURL(t *testing.T) {
	require.True(t, errorx.IsOfType((&platform.HTTPLog{}).Provision(host("log:80")), platform.ErrSettings))
	require.True(t, errorx.IsOfType((&platform.HTTPVMList{}).Provision(nil), platform.ErrSettings))
}
