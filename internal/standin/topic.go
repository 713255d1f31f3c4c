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
	// maxRecordBytes and maxAppendBytes limit one record and the body of one append.
	maxRecordBytes = 256 << 10
	maxAppendBytes = 2 << 20
	// lengthPrefixBytes is the size of the big-endian length before each record.
	lengthPrefixBytes = 4
	// keyedPrefix is the name prefix of topics whose records have keys.
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

// decodeKeyed decodes a record of a keyed topic; it returns false if data is malformed.
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

// topic is a log. records holds the retained records, the first of which has the offset first. newest holds the newest
// record of each key, regardless of the retention.
type topic struct {
	first   uint64
	records []storedRecord
	newest  map[string]storedRecord
	// replaced holds the records that another record of their key has replaced in newest, for restorations.
	replaced []storedRecord
}

// replacedRetention is how old the copy of a restoration may be: older records that were replaced are not kept.
const replacedRetention = time.Minute

// restore removes the records that were added after an instant.
func (t *topic) restore(limit time.Time) {
	kept := len(t.records)
	for kept > 0 && t.records[kept-1].at.After(limit) {
		kept--
	}
	t.records = t.records[:kept:kept]
	former := t.newest
	t.newest = map[string]storedRecord{}
	for _, stored := range t.replaced {
		t.restoreNewest(stored, limit)
	}
	for _, stored := range former {
		t.restoreNewest(stored, limit)
	}
	t.replaced = nil
}

// restoreNewest makes a record the newest of its key unless it was added after an instant or a newer one is known.
func (t *topic) restoreNewest(stored storedRecord, limit time.Time) {
	record, ok := decodeKeyed(stored.data)
	if !ok || stored.at.After(limit) {
		return
	}
	if known, found := t.newest[record.Key]; !found || known.offset < stored.offset {
		t.newest[record.Key] = stored
	}
}

func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

func (t *topic) add(now time.Time, data []byte) {
	stored := storedRecord{offset: t.end(), at: now, data: data}
	t.records = append(t.records, stored)
	if record, ok := decodeKeyed(data); ok {
		if former, found := t.newest[record.Key]; found {
			t.replaced = append(t.replaced, former)
		}
		t.newest[record.Key] = stored
	}
	for len(t.replaced) > 0 && now.Sub(t.replaced[0].at) > replacedRetention {
		t.replaced = t.replaced[1:]
	}
}

func (t *topic) dropOldest(count int) {
	t.records = t.records[count:]
	t.first += uint64(count)
}

// expire removes the records that exceed the retention.
func (t *topic) expire(options StoreOptions) {
	drop := 0
	if options.KeepRecords > 0 {
		drop = max(0, len(t.records)-options.KeepRecords)
	}
	if options.KeepAge > 0 {
		limit := options.Now().Add(-options.KeepAge)
		for drop < len(t.records) && t.records[drop].at.Before(limit) {
			drop++
		}
	}
	t.dropOldest(drop)
}

// append handles POST /log-append.
func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
	records, ok := splitRecords(body)
	if err != nil || !ok || name == "" {
		http.Error(w, "malformed records", http.StatusBadRequest)
		return
	}
	if !s.admit(w, r, name) {
		return
	}
	offset, end, stored, lost := s.appendRecords(name, r.URL.Query().Get("as-of"), records)
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
	for len(body) >= lengthPrefixBytes {
		length := int(binary.BigEndian.Uint32(body))
		body = body[lengthPrefixBytes:]
		if length > len(body) || length > maxRecordBytes {
			return nil, false
		}
		records = append(records, slices.Clone(body[:length]))
		body = body[length:]
	}
	return records, len(body) == 0
}

// appendRecords appends records if asOf is empty or equal to the end offset. It also reports whether the response is to
// be lost.
func (s *Store) appendRecords(name, asOf string, records [][]byte) (offset, end uint64, stored, lost bool) {
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
	s.notifyReaders()
	return offset, t.end(), true, s.takeLostResponse(name)
}

// read handles GET /log-read. It waits up to wait-ms for a record at the offset from.
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
		page, first, end, found, changed := s.readPage(name, from)
		if from > end {
			writeJSON(w, http.StatusGone, map[string]uint64{"first": first})
			return
		}
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

// readPage returns the current page from an offset, the first retained offset, the end, whether the page has records, and a
// channel that is closed on the next change.
func (s *Store) readPage(name string, from uint64) (page []byte, first, end uint64, found bool, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.totals.Reads++
	t := s.topic(name)
	page = binary.BigEndian.AppendUint64(nil, t.end())
	page = binary.BigEndian.AppendUint64(page, t.first)
	if from < t.first || from >= t.end() {
		return page, t.first, t.end(), false, s.changed
	}
	for _, stored := range t.records[from-t.first:] {
		page = binary.BigEndian.AppendUint32(page, uint32(len(stored.data)))
		page = append(page, stored.data...)
	}
	return page, t.first, t.end(), true, s.changed
}

// newest handles GET /log-newest. It responds with a single page.
func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if !strings.HasPrefix(name, keyedPrefix) {
		http.Error(w, "topic is not keyed", http.StatusBadRequest)
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

// group is a consumer group. The member that joined first is assigned all partitions.
type group struct {
	generation uint64
	members    []groupMember
}

type groupMember struct {
	name string
	// expiresAt is when the member is removed unless it joins again.
	expiresAt time.Time
}

// expire removes the members whose time to live has passed.
func (g *group) expire(now time.Time) {
	before := len(g.members)
	g.members = slices.DeleteFunc(g.members, func(m groupMember) bool { return !now.Before(m.expiresAt) })
	if len(g.members) < before {
		g.generation++
	}
}

// addOrRenew adds a member or extends its time to live.
func (g *group) addOrRenew(name string, expiresAt time.Time) {
	for i := range g.members {
		if g.members[i].name == name {
			g.members[i].expiresAt = expiresAt
			return
		}
	}
	g.members = append(g.members, groupMember{name: name, expiresAt: expiresAt})
	g.generation++
}

// join handles POST /log-join.
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
	g.addOrRenew(body.Member, s.options.Now().Add(ttl))
	parts := [][]any{}
	if g.members[0].name == body.Member {
		parts = append(parts, []any{body.Topics[0], 0, 0})
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": parts})
}

// leave handles POST /log-leave.
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

// group returns a group without its expired members, creating it on first use. The caller holds the mutex.
func (s *Store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{}
		s.groups[name] = g
	}
	g.expire(s.options.Now())
	return g
}
