package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

type host string

func (h host) PlatformURL() string { return string(h) }

func startLog(t *testing.T, options standin.StoreOptions) (*standin.Store, *platform.StoreLog) {
	service := standin.NewStore(options)
	server, err := standin.Listen("127.0.0.1:0", service)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	client := &platform.StoreLog{}
	require.NoError(t, client.Provision(host(server.URL())))
	return service, client
}

// Guards against an append that is silently retried when its response is lost: the caller must receive an error for the
// unknown outcome, and the log must contain one record.
func TestAppendWithLostResponseIsUnavailableAndStoredOnce(t *testing.T) {
	service, client := startLog(t, standin.StoreOptions{})
	ctx := context.Background()
	_, err := client.Append(ctx, record.ConfigStream, []byte("first"))
	require.NoError(t, err)
	service.SetFault(standin.StoreFault{Mode: standin.StoreUp, LoseNextResponses: 1})
	_, err = client.Append(ctx, record.ConfigStream, []byte("second"))
	require.True(t, errorx.IsOfType(err, platform.ErrUnavailable), "%v", err)
	reply, err := client.Read(ctx, record.ConfigStream, 2, 10, 0)
	require.NoError(t, err)
	require.Len(t, reply.Records, 1)
	require.Equal(t, "second", string(reply.Records[0].Data))
}

// Guards against offsets that do not start at 1, records that are returned twice or not at all, and a limit that is not
// applied.
func TestReadReturnsContiguousRecords(t *testing.T) {
	_, client := startLog(t, standin.StoreOptions{})
	ctx := context.Background()
	for i, text := range []string{"a", "b", "c"} {
		offset, err := client.Append(ctx, record.AssignStream, []byte(text))
		require.NoError(t, err)
		require.Equal(t, model.Offset(i+1), offset)
	}
	reply, err := client.Read(ctx, record.AssignStream, 2, 1, 0)
	require.NoError(t, err)
	require.Equal(t, platform.ReadReply{
		Oldest: 1, End: 4, Records: []platform.StoredRecord{{Offset: 2, Data: []byte("b")}},
	}, reply)
	reply, err = client.Read(ctx, record.AssignStream, 4, 1, 0)
	require.NoError(t, err)
	require.Empty(t, reply.Records)
}

// Guards against an expired offset being reported as an outage, and against a reply without Oldest.
func TestReadOfExpiredOffsetReportsTheOldest(t *testing.T) {
	_, client := startLog(t, standin.StoreOptions{KeepRecords: 2})
	for range 5 {
		_, err := client.Append(context.Background(), record.AssignStream, []byte("x"))
		require.NoError(t, err)
	}
	reply, err := client.Read(context.Background(), record.AssignStream, 1, 10, 0)
	require.True(t, errorx.IsOfType(err, platform.ErrExpired), "%v", err)
	require.Equal(t, model.Offset(4), reply.Oldest)
}

// Guards against malformed responses that skip records, exhaust memory, or are read as an empty list of VMs.
func TestMalformedResponsesAreUnavailable(t *testing.T) {
	bodies := []string{
		"short", strings.Repeat("\x00", 16) + "\x00\x00\x00\x09cut", strings.Repeat("\x00", 16) + "\xff\xff\xff\xff", "",
	}
	for _, body := range bodies {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		log := &platform.StoreLog{URL: server.URL}
		require.NoError(t, log.Provision(nil))
		_, err := log.Read(context.Background(), record.ConfigStream, 3, 10, 0)
		require.True(t, errorx.IsOfType(err, platform.ErrUnavailable), "%q: %v", body, err)
		vms := &platform.StoreVMList{URL: server.URL}
		require.NoError(t, vms.Provision(nil))
		_, err = vms.List(context.Background())
		require.True(t, errorx.IsOfType(err, platform.ErrUnavailable), "%q: %v", body, err)
		server.Close()
	}
}

// Guards against a malformed registration that hides the others, and against VMs without their state or address.
func TestListReturnsRegisteredVMs(t *testing.T) {
	service, client := startLog(t, standin.StoreOptions{})
	for _, listed := range []standin.Registration{
		{VM: "e-1", Service: platform.EntryService, Address: "127.0.0.1:1", Zone: "a"},
		{VM: "t-1", Service: "desk", Address: "127.0.0.1:2", Zone: "b", State: standin.StateDraining},
		{VM: "gone", Service: "desk", Address: "127.0.0.1:3", Zone: "b"},
	} {
		put, err := listed.Register()
		require.NoError(t, err)
		service.Put(put)
	}
	service.Put(standin.Unregister("gone"))
	service.Put(standin.StorePut{Topic: standin.RegistrationTopic, Records: []standin.Record{{Key: "odd", Value: []byte("{")}}})
	list := &platform.StoreVMList{URL: client.URL}
	require.NoError(t, list.Provision(nil))
	reply, err := list.List(context.Background())
	require.NoError(t, err)
	require.Equal(t, []platform.VM{
		{ID: "e-1", Zone: "a", State: platform.VMLive, PeerAddress: "127.0.0.1:1"}, {ID: "t-1", Zone: "b", State: platform.VMLeaving},
	}, reply.VMs)
	require.Equal(t, []string{"odd"}, reply.Damaged)
}

// Guards against a call that hangs for as long as the service is unresponsive.
func TestCallToUnresponsiveServiceTimesOut(t *testing.T) {
	service, _ := startLog(t, standin.StoreOptions{})
	server, err := standin.Listen("127.0.0.1:0", service)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	relay, err := standin.NewRelay(server.Address)
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	relay.SetBlocked(true)
	client := &platform.StoreLog{URL: "http://" + relay.Address}
	require.NoError(t, client.Provision(nil))
	_, err = client.Append(context.Background(), record.ConfigStream, []byte("x"))
	require.True(t, errorx.IsOfType(err, platform.ErrUnavailable), "%v", err)
}

// Guards against a plug-in that starts without a usable URL and fails only when it is called.
func TestProvisionRejectsInvalidURL(t *testing.T) {
	require.True(t, errorx.IsOfType((&platform.StoreLog{}).Provision(host("log:80")), platform.ErrSettings))
	require.True(t, errorx.IsOfType((&platform.StoreVMList{}).Provision(nil), platform.ErrSettings))
}
