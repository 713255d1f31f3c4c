package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/dispatch"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

const (
	benchService = model.Service("draft-review")
	// benchCallers is less than the 7 connections that one entry VM opens to a target for requests.
	benchCallers = 6
)

// realClock reads the clocks of this process. Instants count from origin.
type realClock struct{ origin time.Time }

func (c realClock) Now() model.Instant { return model.Instant(time.Since(c.origin)) }
func (realClock) Wall() time.Time      { return time.Now() }

// noPeers is the peer transport of an entry VM that has no peers.
type noPeers struct{}

func (noPeers) Send(model.VMID, message.Message) error { return errors.New("no peers") }

// startBenchTarget starts a stand-in target that holds slot 0 with fence 9 under a lease of one hour.
func startBenchTarget(b *testing.B, client *target.HTTPClient) *httptest.Server {
	server := httptest.NewServer(standin.NewTarget(standin.TargetOptions{Concurrency: 4 * benchCallers}))
	b.Cleanup(server.Close)
	address := target.Address(strings.TrimPrefix(server.URL, "http://"))
	ctx := context.Background()
	request := target.RenewRequest{Lessor: "vm-a", Term: model.Term{Epoch: 1}}
	first, err := client.Renew(ctx, address, request, false)
	require.NoError(b, err)
	slot := model.Slot{Service: benchService, Class: model.AnyRegion}
	request.Incarnation = first.Incarnation
	request.ValidUntil = first.Clock.Add(time.Hour)
	request.GrantsVersion = 1
	request.HasGrants = true
	request.Grants = []target.Grant{{Slot: slot, Fence: 9}}
	granted, err := client.Renew(ctx, address, request, false)
	require.NoError(b, err)
	require.True(b, granted.Accepted)
	return server
}

func benchTable(address target.Address) *route.Table {
	slot := model.Slot{Service: benchService, Class: model.AnyRegion}
	owner := &route.Target{ID: "review-1", Service: benchService, Zone: "seacoast-a", Region: "nh-seacoast", Address: address,
		Fencing: route.FencingChecked, InService: true, Status: &route.Status{Serving: true, Limit: 4 * benchCallers, Lessor: "vm-b"}}
	return &route.Table{
		VM: "vm-a", Zone: "seacoast-a", Region: "nh-seacoast", Ready: true,
		Services: map[model.Service]*route.Service{
			benchService: {Name: benchService, Keyed: true, Slots: 1, Targets: []*route.Target{owner}},
		},
		Tenants: map[model.Tenant]*route.Tenant{"granite": {Name: "granite", Class: model.AnyRegion}},
		Targets: map[model.TargetID]*route.Target{"review-1": owner},
		Owners:  map[model.Slot]route.Owner{slot: {Slot: slot, Fence: 9, Target: owner}},
	}
}

// startRouter starts a router (front, dispatcher and target client) for one target and returns its address for callers.
func startRouter(b *testing.B, client *target.HTTPClient, address target.Address) string {
	dispatcher := dispatch.New(dispatch.Options{Client: client, Sender: noPeers{}, Clock: realClock{origin: time.Now()}})
	dispatcher.SetTable(benchTable(address))
	f, err := New(Settings{Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", Handler: dispatcher, Ready: func() bool { return true }})
	require.NoError(b, err)
	require.NoError(b, f.Start(context.Background()))
	b.Cleanup(func() {
		_ = f.Stop(context.Background())
		_ = dispatcher.Stop(context.Background())
	})
	return f.Address()
}

// plainProxy forwards requests with http.Client and does nothing else.
func plainProxy(client *http.Client, address string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		forwarded, err := http.NewRequestWithContext(r.Context(), r.Method, address+r.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		forwarded.Header = r.Header.Clone()
		response, err := client.Do(forwarded)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		responseBody, err := io.ReadAll(response.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		w.WriteHeader(response.StatusCode)
		_, _ = w.Write(responseBody)
	})
}

// BenchmarkPath sends requests of 200 bytes over loopback: directly to a stand-in target ("straight"), through a
// minimal proxy ("plain"), and through the router. The processor time includes callers and target; the difference to
// "straight" is the processor time of the proxy or router.
func BenchmarkPath(b *testing.B) {
	for _, path := range []string{"straight", "plain", "router"} {
		b.Run(path, func(b *testing.B) {
			client := &target.HTTPClient{}
			server := startBenchTarget(b, client)
			host := strings.TrimPrefix(server.URL, "http://")
			transport := &http.Transport{MaxIdleConnsPerHost: 4 * benchCallers}
			url := server.URL + "/n"
			switch path {
			case "plain":
				proxy := httptest.NewServer(plainProxy(&http.Client{Transport: transport}, server.URL))
				b.Cleanup(proxy.Close)
				url = proxy.URL + "/n"
			case "router":
				url = "http://" + startRouter(b, client, target.Address(host)) + "/v1/" + string(benchService) + "/n"
			}
			b.Cleanup(func() {
				transport.CloseIdleConnections()
				_ = client.Stop(context.Background())
			})
			runCallers(b, transport, url, path != "router")
		})
	}
}

// runCallers sends b.N requests from benchCallers callers and reports processor time and latencies.
func runCallers(b *testing.B, transport http.RoundTripper, url string, toTarget bool) {
	latencies := make([][]time.Duration, benchCallers)
	var callers sync.WaitGroup
	b.ResetTimer()
	started := processorTime()
	for i := range latencies {
		callers.Go(func() {
			for range b.N / benchCallers {
				latencies[i] = append(latencies[i], timeRequest(b, transport, url, toTarget))
			}
		})
	}
	callers.Wait()
	cpu := processorTime() - started
	all := slices.Concat(latencies...)
	if len(all) == 0 {
		return
	}
	slices.Sort(all)
	b.ReportMetric(float64(cpu.Microseconds())/float64(len(all)), "cpu-us/op")
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
}

// timeRequest sends one request and returns its latency. toTarget adds the header that a target expects from the
// router.
func timeRequest(b *testing.B, transport http.RoundTripper, url string, toTarget bool) time.Duration {
	request, err := http.NewRequest(http.MethodGet, url, strings.NewReader(strings.Repeat("x", 200)))
	if err != nil {
		b.Error(err)
		return 0
	}
	request.Header.Set(HeaderTenant, "granite")
	request.Header.Set(HeaderKey, "draft-17")
	if toTarget {
		request.Header.Set(target.HeaderAttempt, "a-1")
	}
	started := time.Now()
	response, err := transport.RoundTrip(request)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		b.Error(response.StatusCode, err)
	}
	return time.Since(started)
}

// processorTime returns the user and system CPU time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
