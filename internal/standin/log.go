package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// ClientHeader names the client of a call, so that faults can apply to some clients only.
const ClientHeader = "X-Client"

// maxRecordBytes is the largest record that the log service accepts.
const maxRecordBytes = 1 << 20

// LogMode is the state of the log service.
type LogMode string

// Modes of the log service.
const (
	LogUp LogMode = "up"
	// LogDown answers 503.
	LogDown LogMode = "down"
	// LogSlow delays every answer.
	LogSlow LogMode = "slow"
)

// LogFault is the body of POST /control. It replaces the fault of the same stream and client.
type LogFault struct {
	Mode        LogMode `json:"mode"`
	DelayMillis int64   `json:"delay_ms"`
	// LoseNextAnswers is the number of appends that take effect and get no answer.
	LoseNextAnswers int `json:"lose_next_answers"`
	// Stream and Client limit the fault; empty means all.
	Stream record.Stream `json:"stream"`
	Client string        `json:"client"`
}

// LogTotals is the answer of GET /control/totals.
type LogTotals struct {
	Appends     uint64                         `json:"appends"`
	Reads       uint64                         `json:"reads"`
	LostAnswers uint64                         `json:"lost_answers"`
	Refused     uint64                         `json:"refused"`
	End         map[record.Stream]model.Offset `json:"end"`
}

// LogOptions sets the retention. 0 means unlimited.
type LogOptions struct {
	KeepRecords int
	KeepAge     time.Duration
	// Now replaces the clock in tests.
	Now func() time.Time
}

type faultScope struct {
	stream record.Stream
	client string
}

type stream struct {
	records []platform.StoredRecord
	end     model.Offset
}

// Log is the log service.
type Log struct {
	options LogOptions
	mux     *http.ServeMux
	mutex   sync.Mutex
	streams map[record.Stream]*stream
	faults  map[faultScope]*LogFault
	totals  LogTotals
	// changed is closed and replaced when a record or a fault arrives.
	changed chan struct{}
}

// NewLog returns an empty log service.
func NewLog(options LogOptions) *Log {
	if options.Now == nil {
		options.Now = time.Now
	}
	l := &Log{
		options: options,
		mux:     http.NewServeMux(),
		streams: map[record.Stream]*stream{},
		faults:  map[faultScope]*LogFault{},
		changed: make(chan struct{}),
	}
	l.mux.HandleFunc("POST /v1/streams/{stream}/records", l.append)
	l.mux.HandleFunc("GET /v1/streams/{stream}/records", l.read)
	l.mux.HandleFunc("POST /control", l.control)
	l.mux.HandleFunc("GET /control/totals", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, l.Totals()) })
	return l
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// SetFault replaces the fault of the same stream and client.
func (l *Log) SetFault(fault LogFault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.faults[faultScope{fault.Stream, fault.Client}] = &fault
	l.wake()
}

// Totals returns the counters.
func (l *Log) Totals() LogTotals {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	totals := l.totals
	totals.End = map[record.Stream]model.Offset{}
	for name, s := range l.streams {
		totals.End[name] = s.end
	}
	return totals
}

func (l *Log) control(w http.ResponseWriter, r *http.Request) {
	fault := LogFault{Mode: LogUp}
	if readJSON(w, r, &fault) {
		l.SetFault(fault)
		writeJSON(w, http.StatusOK, fault)
	}
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	name := record.Stream(r.PathValue("stream"))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, "record is too large", http.StatusRequestEntityTooLarge)
		return
	}
	if !l.admit(w, r, name) {
		return
	}
	offset, lost := l.store(name, r.Header.Get(ClientHeader), data)
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, platform.AppendReply{Offset: offset})
}

// store appends a record and reports whether its answer is to be lost.
func (l *Log) store(name record.Stream, client string, data []byte) (model.Offset, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.stream(name)
	stored := platform.StoredRecord{Offset: s.end, Data: data, TimeMillis: l.options.Now().UnixMilli()}
	s.records = append(s.records, stored)
	s.end++
	l.totals.Appends++
	l.expire(s)
	l.wake()
	for _, scope := range scopes(name, client) {
		if fault := l.faults[scope]; fault != nil && fault.LoseNextAnswers > 0 {
			fault.LoseNextAnswers--
			l.totals.LostAnswers++
			return stored.Offset, true
		}
	}
	return stored.Offset, false
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	name := record.Stream(r.PathValue("stream"))
	from, fromErr := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	limit, maxErr := strconv.Atoi(r.URL.Query().Get("max"))
	wait, waitErr := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if fromErr != nil || maxErr != nil || waitErr != nil || from == 0 || limit <= 0 {
		http.Error(w, "malformed query", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		if !l.admit(w, r, name) {
			return
		}
		reply, status, changed := l.look(name, model.Offset(from), limit)
		if !waiting || len(reply.Records) > 0 || status != http.StatusOK {
			writeJSON(w, status, reply)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// look returns the records that a reader gets now.
func (l *Log) look(name record.Stream, from model.Offset, limit int) (platform.ReadReply, int, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.totals.Reads++
	s := l.stream(name)
	l.expire(s)
	oldest := s.end - model.Offset(len(s.records))
	reply := platform.ReadReply{Oldest: oldest, End: s.end, Records: []platform.StoredRecord{}}
	if from < oldest {
		return reply, http.StatusGone, l.changed
	}
	if from < s.end {
		kept := s.records[from-oldest:]
		reply.Records = append(reply.Records, kept[:min(limit, len(kept))]...)
	}
	return reply, http.StatusOK, l.changed
}

// admit applies the faults that are in force and reports whether the call goes on.
func (l *Log) admit(w http.ResponseWriter, r *http.Request, name record.Stream) bool {
	down, delay := l.faultOf(name, r.Header.Get(ClientHeader))
	if down {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return false
	}
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (l *Log) faultOf(name record.Stream, client string) (down bool, delay time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, scope := range scopes(name, client) {
		fault := l.faults[scope]
		if fault == nil {
			continue
		}
		down = down || fault.Mode == LogDown
		if fault.Mode == LogSlow {
			delay = max(delay, time.Duration(fault.DelayMillis)*time.Millisecond)
		}
	}
	if down {
		l.totals.Refused++
	}
	return down, delay
}

// scopes returns the distinct fault scopes that apply to a call.
func scopes(name record.Stream, client string) []faultScope {
	found := []faultScope{{}, {stream: name}}
	if client != "" {
		found = append(found, faultScope{client: client}, faultScope{name, client})
	}
	return found
}

// stream returns a stream; the first offset is 1. The mutex is held.
func (l *Log) stream(name record.Stream) *stream {
	if l.streams[name] == nil {
		l.streams[name] = &stream{end: 1}
	}
	return l.streams[name]
}

// expire drops records beyond the retention. The mutex is held.
func (l *Log) expire(s *stream) {
	drop := 0
	if keep := l.options.KeepRecords; keep > 0 {
		drop = max(0, len(s.records)-keep)
	}
	if l.options.KeepAge > 0 {
		limit := l.options.Now().Add(-l.options.KeepAge).UnixMilli()
		for drop < len(s.records) && s.records[drop].TimeMillis < limit {
			drop++
		}
	}
	s.records = s.records[drop:]
}

func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}
