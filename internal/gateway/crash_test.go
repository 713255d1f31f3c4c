package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/standin/platformstub"
)

// crashingRequest is the URI of the request that ends every target that begins to run it.
const crashingRequest = "/reads/crash?page=1"

// addTargets starts targets of the service desk that crash under crashingRequest.
func (f *fixture) addTargets(count int) {
	for i := range count {
		id := fmt.Sprint("c-", i)
		target := platformstub.NewTarget(id, 5*time.Millisecond)
		f.t.Cleanup(target.Close)
		f.targets[id] = target
		f.register(id, "desk", "a", "ready")
	}
	for _, target := range f.targets {
		target.CrashOn(func(request *http.Request) bool { return request.RequestURI == crashingRequest })
	}
}

// crashes returns how many targets ended under requests with IDs that begin with "crash-".
func (f *fixture) crashes(sent int) int {
	runs := 0
	for i := range sent {
		runs += f.runs(fmt.Sprint("crash-", i))
	}
	return runs
}

// expireEnded removes the registrations of targets that have ended, and waits until all VMs know.
func (f *fixture) expireEnded(vms []*gateway) {
	for id, target := range f.targets {
		if !target.Ended() {
			continue
		}
		f.store.Put("keyed.servers", id, nil)
		for _, vm := range vms {
			require.Eventually(f.t, func() bool {
				_, found := vm.state.lookup(vm.clock.Now(), model.TargetID(id))
				return !found
			}, settleTime, 10*time.Millisecond)
		}
	}
}

// Guards against a request that ends one target after the other: it comes again under other attempt IDs, at other VMs and at
// a VM that has just started. Requests like it are served.
func TestRequestThatCrashesTargetsIsStoppedAtAllVMs(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	f.addTargets(12)
	vms := []*gateway{f.gateway, f.startVM("vm-2"), f.startVM("vm-3")}
	sent := 0
	send := func(vm *gateway) testResponse {
		response := f.sendTo(vm, http.MethodGet, crashingRequest, fmt.Sprint("crash-", sent), "")
		sent++
		return response
	}
	for f.crashes(sent) < 3 && sent < 10 {
		send(vms[sent%len(vms)])
	}
	require.GreaterOrEqual(t, f.crashes(sent), 3)
	time.Sleep(1500 * time.Millisecond)
	before := f.crashes(sent)
	vms = append(vms, f.startVM("vm-4"))
	for range 3 {
		for _, vm := range vms {
			started := time.Now()
			response := send(vm)
			assert.Equal(t, http.StatusServiceUnavailable, response.status, "%s: %s", vm.settings.VM, response.body)
			assert.NotEmpty(t, response.header.Get("Retry-After"))
			assert.Less(t, time.Since(started), 500*time.Millisecond, "it is known at once that the request may not run")
		}
	}
	assert.Equal(t, before, f.crashes(sent), "the request runs again")
	f.expireEnded(vms)
	for i, vm := range vms {
		for uri, request := range map[string][2]string{
			"/reads/crash?page=2": {http.MethodGet, ""}, "/reads/crash": {http.MethodGet, ""}, "/notices/crash?page=1": {http.MethodPost, "x"},
			"/reads/crash?page=1&more": {http.MethodGet, ""},
		} {
			response := f.sendTo(vm, request[0], uri, fmt.Sprint("like-", i, uri), request[1])
			assert.Equal(t, http.StatusOK, response.status, "%s at %s: %s", uri, vm.settings.VM, response.body)
		}
	}
}
