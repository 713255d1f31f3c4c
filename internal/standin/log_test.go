package standin_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

func call(handler http.Handler, method, path, client string, body any) *httptest.ResponseRecorder {
	encoded, _ := json.Marshal(body)
	request := httptest.NewRequest(method, path, bytes.NewReader(encoded))
	request.Header.Set(standin.ClientHeader, client)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// Guards against a fault for one client or stream that reaches others.
func TestLogFaultsApplyToTheirScopeOnly(t *testing.T) {
	log := standin.NewLog(standin.LogOptions{})
	fault := standin.LogFault{Mode: standin.LogDown, Client: "vm1", Stream: "assign"}
	require.Equal(t, http.StatusOK, call(log, "POST", "/control", "", fault).Code)
	require.Equal(t, http.StatusServiceUnavailable, call(log, "POST", "/v1/streams/assign/records", "vm1", 1).Code)
	require.Equal(t, http.StatusOK, call(log, "POST", "/v1/streams/config/records", "vm1", 1).Code)
	require.Equal(t, http.StatusOK, call(log, "POST", "/v1/streams/assign/records", "vm2", 1).Code)
	require.Equal(t, map[string]int{"appends": 2, "refused": 1}, map[string]int{
		"appends": int(log.Totals().Appends), "refused": int(log.Totals().Refused),
	})
}

// Guards against a long poll that outlasts the start of an outage, and one that misses a record.
func TestLongPollEndsOnARecordAndOnAnOutage(t *testing.T) {
	log := standin.NewLog(standin.LogOptions{})
	answers := make(chan int)
	poll := func(from string) {
		go func() {
			answers <- call(log, "GET", "/v1/streams/assign/records?max=1&wait_ms=600000&from="+from, "", nil).Code
		}()
	}
	poll("1")
	require.Eventually(t, func() bool { return log.Totals().Reads == 1 }, 10*time.Second, time.Millisecond)
	call(log, "POST", "/v1/streams/assign/records", "", 1)
	require.Equal(t, http.StatusOK, <-answers)
	poll("2")
	require.Eventually(t, func() bool { return log.Totals().Reads >= 3 }, 10*time.Second, time.Millisecond)
	log.SetFault(standin.LogFault{Mode: standin.LogDown})
	require.Equal(t, http.StatusServiceUnavailable, <-answers)
}

// Guards against records that outlive their age, and offsets that are used again.
func TestLogDropsOldRecordsAndKeepsCounting(t *testing.T) {
	now := time.UnixMilli(0)
	log := standin.NewLog(standin.LogOptions{KeepAge: time.Minute, Now: func() time.Time { return now }})
	call(log, "POST", "/v1/streams/config/records", "", 1)
	now = now.Add(2 * time.Minute)
	require.Equal(t, http.StatusGone, call(log, "GET", "/v1/streams/config/records?from=1&max=1&wait_ms=0", "", nil).Code)
	var reply platform.AppendReply
	require.NoError(t, json.Unmarshal(call(log, "POST", "/v1/streams/config/records", "", 1).Body.Bytes(), &reply))
	require.Equal(t, model.Offset(2), reply.Offset)
}

// Guards against a list that shows a change before its lag.
func TestVMListShowsChangesAfterTheLag(t *testing.T) {
	now := time.UnixMilli(0)
	list := standin.NewVMList(time.Second, func() time.Time { return now })
	list.Change(standin.VMListChange{Set: []platform.VM{{ID: "a"}, {ID: "b"}}})
	require.Empty(t, list.Visible().VMs)
	now = now.Add(time.Second)
	list.Change(standin.VMListChange{Leaving: []model.VMID{"a"}, Gone: []model.VMID{"b"}})
	require.Len(t, list.Visible().VMs, 2)
	now = now.Add(time.Second)
	require.Equal(t, []platform.VM{{ID: "a", State: platform.VMLeaving}}, list.Visible().VMs)
}
