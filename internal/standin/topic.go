package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxRecordBytes and maxCallBytes bound a record and the records of one append.
	maxRecordBytes = 256 << 10
	maxCallBytes   = 2 << 20
	// recordHead is the length of the length that precedes each record.
	recordHead = 4
	// keyedPrefix begins the names of topics whose records have keys.
	keyedPrefix = "keyed."
)

// Record is a record of a keyed topic. An empty value removes the key.
type Record struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

func (r Record) encode() []byte {
	encoded := append([]byte{byte(len(r.Key))}, r.Key...)
	return append(encoded, r.Value...)
}

// decodeKeyed returns false for bytes that are no record of a keyed topic.
func decodeKeyed(data []byte) (Record, bool) {
	if len(data) == 0 || int(data[0]) >= len(data) {
		return Record{}, false
	}
	end := 1 + int(data[0])
	return Record{Key: string(data[1:end]), Value: data[end:]}, true
}

type storedRecord struct {
	offset uint64
	at     time.Time
	data   []byte
}

// topic is a log. first is the offset of the first record that is kept.
type topic struct {
	first  uint64
	kept   []storedRecord
	newest map[string]storedRecord
}

func (t *topic) end() uint64 { return t.first + uint64(len(t.kept)) }

func (t *topic) add(now time.Time, data []byte) {
	stored := storedRecord{offset: t.end(), at: now, data: data}
	t.kept = append(t.kept, stored)
	if record, ok := decodeKeyed(data); ok {
		t.newest[record.Key] = stored
	}
}

func (t *topic) drop(count int) {
	t.kept = t.kept[count:]
	t.first += uint64(count)
}

// expire drops records beyond the retention.
func (t *topic) expire(options StoreOptions) {
	drop := 0
	if options.KeepRecords > 0 {
		drop = max(0, len(t.kept)-options.KeepRecords)
	}
	if options.KeepAge > 0 {
		limit := options.Now().Add(-options.KeepAge)
		for drop < len(t.kept) && t.kept[drop].at.Before(limit) {
			drop++
		}
	}
	t.drop(drop)
}

// append answers POST /log-append.
func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	records, ok := splitRecords(body)
	if err != nil || !ok || name == "" {
		http.Error(w, "malformed records", http.StatusBadRequest)
		return
	}
	if !s.admit(w, r, name) {
		return
	}
	offset, end, stored, lost := s.store(name, r.URL.Query().Get("as-of"), records)
	if lost {
		panic(http.ErrAbortHandler)
	}
	if !stored {
		writeJSON(w, http.StatusPreconditionFailed, map[string]uint64{"end": end})
		return
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"offset": offset, "end": end})
}

func splitRecords(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) >= recordHead {
		length := int(binary.BigEndian.Uint32(body))
		body = body[recordHead:]
		if length > len(body) || length > maxRecordBytes {
			return nil, false
		}
		records = append(records, slices.Clone(body[:length]))
		body = body[length:]
	}
	return records, len(body) == 0
}

// store appends records if the topic ends as the condition says, and reports whether the answer is to be lost.
func (s *Store) store(name, asOf string, records [][]byte) (offset, end uint64, stored, lost bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	offset = t.end()
	if asOf != "" && asOf != strconv.FormatUint(offset, 10) {
		return 0, offset, false, false
	}
	for _, data := range records {
		t.add(s.options.Now(), data)
	}
	s.totals.Appends++
	s.wake()
	return offset, t.end(), true, s.loses(name)
}

// read answers GET /log-read.
func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	name := query.Get("topic")
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil || name == "" {
		http.Error(w, "malformed query", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := wait > 0; ; {
		if !s.admit(w, r, name) {
			return
		}
		page, first, found, changed := s.look(name, from)
		if from < first {
			writeJSON(w, http.StatusGone, map[string]uint64{"first": first})
			return
		}
		if found || !waiting {
			_, _ = w.Write(page)
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

// look returns the page that a reader gets now, the first offset kept, and whether the page has records.
func (s *Store) look(name string, from uint64) (page []byte, first uint64, found bool, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.totals.Reads++
	t := s.topic(name)
	page = binary.BigEndian.AppendUint64(nil, t.end())
	page = binary.BigEndian.AppendUint64(page, t.first)
	if from < t.first || from >= t.end() {
		return page, t.first, false, s.changed
	}
	for _, stored := range t.kept[from-t.first:] {
		page = binary.BigEndian.AppendUint32(page, uint32(len(stored.data)))
		page = append(page, stored.data...)
	}
	return page, t.first, true, s.changed
}

// newest answers GET /log-newest with one page.
func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if !strings.HasPrefix(name, keyedPrefix) {
		http.Error(w, "the topic has no keys", http.StatusBadRequest)
		return
	}
	if !s.admit(w, r, name) {
		return
	}
	items, end := s.listNewest(name)
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "end": end})
}

type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset uint64 `json:"offset"`
}

func (s *Store) listNewest(name string) ([]newestItem, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	items := []newestItem{}
	for key, stored := range t.newest {
		if record, ok := decodeKeyed(stored.data); ok && len(record.Value) > 0 {
			items = append(items, newestItem{Key: key, Value: base64.StdEncoding.EncodeToString(record.Value), Offset: stored.offset})
		}
	}
	slices.SortFunc(items, func(a, b newestItem) int { return strings.Compare(a.Key, b.Key) })
	return items, t.end()
}

// group is a group of members; the one that has been in it longest holds all partitions.
type group struct {
	generation uint64
	members    []groupMember
}

type groupMember struct {
	name string
	// until is when the member lapses unless it joins again.
	until time.Time
}

// lapse drops members that have not joined in time.
func (g *group) lapse(now time.Time) {
	before := len(g.members)
	g.members = slices.DeleteFunc(g.members, func(m groupMember) bool { return !now.Before(m.until) })
	if len(g.members) < before {
		g.generation++
	}
}

// keep adds a member or keeps it in the group.
func (g *group) keep(name string, until time.Time) {
	for i := range g.members {
		if g.members[i].name == name {
			g.members[i].until = until
			return
		}
	}
	g.members = append(g.members, groupMember{name: name, until: until})
	g.generation++
}

// join answers POST /log-join.
func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Group  string   `json:"group"`
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTL    string   `json:"ttl_time"`
	}
	err := json.NewDecoder(r.Body).Decode(&body)
	ttl, ttlErr := time.ParseDuration(body.TTL)
	if err != nil || ttlErr != nil || len(body.Topics) == 0 {
		http.Error(w, "malformed join", http.StatusBadRequest)
		return
	}
	if !s.admit(w, r, body.Topics[0]) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g := s.group(body.Group)
	g.keep(body.Member, s.options.Now().Add(ttl))
	parts := [][]any{}
	if g.members[0].name == body.Member {
		parts = append(parts, []any{body.Topics[0], 0, 0})
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": parts})
}

// leave answers POST /log-leave.
func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Group  string `json:"group"`
		Member string `json:"member"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		http.Error(w, "malformed leave", http.StatusBadRequest)
		return
	}
	if !s.admit(w, r, "") {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g := s.group(body.Group)
	g.members = slices.DeleteFunc(g.members, func(m groupMember) bool { return m.name == body.Member })
	g.generation++
	writeJSON(w, http.StatusOK, struct{}{})
}

// group returns a group that exists from its first use on. The mutex is held.
func (s *Store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{}
		s.groups[name] = g
	}
	g.lapse(s.options.Now())
	return g
}
