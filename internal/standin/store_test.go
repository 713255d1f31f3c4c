package standin_test

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

func call(handler http.Handler, method, path string, body []byte) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, bytes.NewReader(body))
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

func appendTo(store *standin.Store, topic string) *httptest.ResponseRecorder {
	return call(store, "POST", "/log-append?part=0&topic="+topic, append(binary.BigEndian.AppendUint32(nil, 1), 'x'))
}

// Guards against a fault for one topic that reaches others.
func TestStoreFaultsApplyToTheirScopeOnly(t *testing.T) {
	store := standin.NewStore(standin.StoreOptions{})
	fault, err := json.Marshal(standin.StoreFault{Mode: standin.StoreDown, Topic: "assign"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, call(store, "POST", standin.ControlPath, fault).Code)
	require.Equal(t, http.StatusServiceUnavailable, appendTo(store, "assign").Code)
	require.Equal(t, http.StatusOK, appendTo(store, "config").Code)
	require.Equal(t, map[string]int{"appends": 1, "refused": 1}, map[string]int{
		"appends": int(store.Totals().Appends), "refused": int(store.Totals().Refused),
	})
}

// Guards against a long poll that outlasts the start of an outage, and one that misses a record.
func TestLongPollEndsOnARecordAndOnAnOutage(t *testing.T) {
	store := standin.NewStore(standin.StoreOptions{})
	answers := make(chan int)
	poll := func(from string) {
		go func() {
			answers <- call(store, "GET", "/log-read?topic=assign&part=0&wait-ms=600000&from="+from, nil).Code
		}()
	}
	poll("0")
	require.Eventually(t, func() bool { return store.Totals().Reads == 1 }, 10*time.Second, time.Millisecond)
	appendTo(store, "assign")
	require.Equal(t, http.StatusOK, <-answers)
	poll("1")
	require.Eventually(t, func() bool { return store.Totals().Reads >= 3 }, 10*time.Second, time.Millisecond)
	store.SetFault(standin.StoreFault{Mode: standin.StoreDown})
	require.Equal(t, http.StatusServiceUnavailable, <-answers)
}

// Guards against records that outlive their age, and offsets that are used again.
func TestStoreDropsOldRecordsAndKeepsCounting(t *testing.T) {
	now := time.UnixMilli(0)
	store := standin.NewStore(standin.StoreOptions{KeepAge: time.Minute, Now: func() time.Time { return now }})
	appendTo(store, "config")
	now = now.Add(2 * time.Minute)
	require.Equal(t, http.StatusGone, call(store, "GET", "/log-read?topic=config&part=0&from=0", nil).Code)
	require.JSONEq(t, `{"offset":1,"end":2}`, appendTo(store, "config").Body.String())
}

// Guards against an append whose condition is ignored: two writers must not both get an offset.
func TestConditionalAppendHasOneWinner(t *testing.T) {
	store := standin.NewStore(standin.StoreOptions{})
	require.Equal(t, http.StatusOK, appendTo(store, "config&as-of=0").Code)
	lost := appendTo(store, "config&as-of=0")
	require.Equal(t, http.StatusPreconditionFailed, lost.Code)
	require.JSONEq(t, `{"end":1}`, lost.Body.String())
}

// Guards against a listing that shows a change before its lag, and a removed entry that stays listed.
func TestStoreListsChangesAfterTheLag(t *testing.T) {
	now := time.UnixMilli(0)
	store := standin.NewStore(standin.StoreOptions{Lag: time.Second, Now: func() time.Time { return now }})
	put := func(records ...standin.Record) {
		store.Put(standin.StorePut{Topic: standin.RegistrationTopic, Records: records})
	}
	listed := func() string {
		return call(store, "GET", "/log-newest?part=0&topic="+standin.RegistrationTopic, nil).Body.String()
	}
	put(standin.Record{Key: "a", Value: []byte("1")}, standin.Record{Key: "b", Value: []byte("1")})
	require.JSONEq(t, `{"items":[],"has-more":false,"end":0}`, listed())
	now = now.Add(time.Second)
	put(standin.Record{Key: "a", Value: []byte("2")}, standin.Record{Key: "b"})
	require.JSONEq(t, `{"items":[{"key":"a","value":"MQ==","offset":0},{"key":"b","value":"MQ==","offset":1}],"has-more":false,"end":2}`, listed())
	now = now.Add(time.Second)
	require.JSONEq(t, `{"items":[{"key":"a","value":"Mg==","offset":2}],"has-more":false,"end":4}`, listed())
}

// Guards against a member that has ended and holds the group's partitions for ever, so that no other one ever leads.
func TestSilentMemberLapses(t *testing.T) {
	now := time.UnixMilli(0)
	store := standin.NewStore(standin.StoreOptions{Now: func() time.Time { return now }})
	join := func(member string) string {
		body := []byte(`{"group":"g","member":"` + member + `","topics":["t"],"ttl_time":"1200ms","generation":0}`)
		return call(store, "POST", "/log-join", body).Body.String()
	}
	require.JSONEq(t, `{"generation":1,"parts":[["t",0,0]]}`, join("a"))
	require.JSONEq(t, `{"generation":2,"parts":[]}`, join("b"))
	now = now.Add(time.Second)
	require.JSONEq(t, `{"generation":2,"parts":[]}`, join("b"))
	now = now.Add(time.Second)
	require.JSONEq(t, `{"generation":3,"parts":[["t",0,0]]}`, join("b"))
}
