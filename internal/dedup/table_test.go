package dedup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

var (
	start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	slot  = model.Slot{Service: "alert-desk", Class: model.AnyRegion, Index: 7}
)

const fence = model.Fence(40)

// lessor is one VM with its own clock and table; confirmed is the true time of its last accepted renewal.
type lessor struct {
	skew      time.Duration
	table     *Table
	term      model.Term
	confirmed time.Time
}

// attempt is one attempt that is on its way to a lessor. received is the true time at which an entry VM received it,
// and receivedMillis is the same on that VM's wall clock.
type attempt struct {
	id             model.RequestID
	received       time.Time
	receivedMillis int64
}

type runningRequest struct {
	id     model.RequestID
	lessor *lessor
}

// simulation holds the lessors, the attempts in flight, and the expected outcomes: how often each request ran, and
// until when each "not run" is valid.
type simulation struct {
	now      time.Time
	lessors  []*lessor
	current  *lessor
	ids      []model.RequestID
	attempts []attempt
	running  []runningRequest
	ran      map[model.RequestID]int
	notRun   map[model.RequestID]time.Time
	terms    uint16
}

func drawSkew(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(-125, 125).Draw(t, "skew")) * time.Millisecond
}

func (l *lessor) wall(now time.Time) time.Time { return now.Add(l.skew) }

// makeSender makes l the sender. The term of the current sender is passed to it as the previous term that the target
// reports.
func (s *simulation) makeSender(l *lessor) {
	previous := model.Term{}
	if s.current != nil {
		previous = s.current.term
	}
	s.terms++
	l.term = model.Term{Epoch: 1, Rank: s.terms}
	l.confirmed = s.now
	l.table.Cover(slot, fence, l.wall(s.now), previous)
	s.current = l
}

func (s *simulation) advance(t *rapid.T) {
	step := rapid.SampledFrom([]int{1, 20, 150, 240, 700, 1100, 60_000, 290_000}).Draw(t, "step")
	s.now = s.now.Add(time.Duration(step) * time.Millisecond)
}

func (s *simulation) newID(t *rapid.T) {
	offset := rapid.SampledFrom([]int{0, 0, 0, 200, 760, 900, 1400, 120_000, -1000, -240_000}).Draw(t, "offset")
	at := s.now.Add(time.Duration(offset) * time.Millisecond)
	s.ids = append(s.ids, model.RequestIDAt(at, uint64(len(s.ids)%3)))
}

func (s *simulation) receive(t *rapid.T) {
	if len(s.ids) == 0 {
		t.Skip("no ID")
	}
	id := rapid.SampledFrom(s.ids).Draw(t, "id")
	receivedMillis := s.now.Add(drawSkew(t)).UnixMilli()
	s.attempts = append(s.attempts, attempt{id: id, received: s.now, receivedMillis: receivedMillis})
}

// deliver makes an attempt arrive at the sender or at a VM that still considers itself the sender. The target refuses
// requests of the latter.
func (s *simulation) deliver(t *rapid.T) {
	if len(s.attempts) == 0 {
		t.Skip("no attempt")
	}
	a := rapid.SampledFrom(s.attempts).Draw(t, "attempt")
	l := rapid.SampledFrom([]*lessor{s.current, s.current, rapid.SampledFrom(s.lessors).Draw(t, "any")}).Draw(t, "lessor")
	if l.table.Admit(l.wall(s.now), slot, fence, a.id, a.receivedMillis).Decision != Run {
		return
	}
	if l != s.current {
		l.table.Abort(a.id)
		return
	}
	if rapid.IntRange(0, 3).Draw(t, "shed") == 0 {
		l.table.Abort(a.id)
		return
	}
	require.Zero(t, s.ran[a.id], "ran twice")
	if validUntil, found := s.notRun[a.id]; found {
		require.True(t, a.received.After(validUntil), "an attempt received while \"not run\" was valid ran later")
	}
	s.ran[a.id]++
	s.running = append(s.running, runningRequest{id: a.id, lessor: l})
}

func (s *simulation) finish(t *rapid.T) {
	if len(s.running) == 0 {
		t.Skip("nothing in flight")
	}
	r := rapid.SampledFrom(s.running).Draw(t, "flight")
	if rapid.Bool().Draw(t, "lost") {
		r.lessor.table.MarkUnknown(r.id)
		return
	}
	r.lessor.table.Finish(r.id, message.ForwardReply{Body: make([]byte, 40)})
}

func (s *simulation) closeID(t *rapid.T) {
	if len(s.attempts) == 0 {
		t.Skip("no attempt")
	}
	a := rapid.SampledFrom(s.attempts).Draw(t, "attempt")
	l := rapid.SampledFrom(s.lessors).Draw(t, "lessor")
	got, _ := l.table.Close(l.wall(s.now), slot, a.id, a.receivedMillis, l.wall(l.confirmed))
	if got == CloseNotRun {
		require.Zero(t, s.ran[a.id], "\"not run\" for a request that ran")
		s.notRun[a.id] = s.now.Add(NotRunValidity)
	}
}

// replaceVM replaces a VM by one with an empty table, which becomes the sender at once.
func (s *simulation) replaceVM(t *rapid.T) {
	fresh := &lessor{skew: drawSkew(t), table: New(Limits{MaxEntries: 2 * shardCount, MaxBodyBytes: 64 * shardCount})}
	s.lessors[rapid.IntRange(0, len(s.lessors)-1).Draw(t, "lost")] = fresh
	s.makeSender(fresh)
}

// replaceSender makes any VM the sender while the old one keeps its table and is not notified.
func (s *simulation) replaceSender(t *rapid.T) {
	s.makeSender(rapid.SampledFrom(s.lessors).Draw(t, "next"))
}

// handOver stops the sender with a handover, which may arrive late and after another VM acted as the sender.
func (s *simulation) handOver(t *rapid.T) {
	old := s.current
	next := rapid.SampledFrom(s.lessors).Draw(t, "next")
	handovers := old.table.Export([]model.Slot{slot}, old.term)
	if rapid.IntRange(0, 2).Draw(t, "between") == 0 {
		s.replaceVM(t)
		s.now = s.now.Add(2 * time.Second)
		s.newID(t)
		s.receive(t)
		s.deliver(t)
		s.deliver(t)
	}
	early := rapid.Bool().Draw(t, "early")
	if !early {
		s.makeSender(next)
	}
	for _, h := range handovers {
		next.table.Import(next.wall(s.now), h)
	}
	if early {
		s.makeSender(next)
	}
}

func (s *simulation) renew(*rapid.T) { s.current.confirmed = s.now }

// TestRunsAtMostOnceAndNotRunStaysTrue guards against a request that runs twice and against a "not run" that is or
// becomes false, with changing senders, lost tables, handovers, delayed attempts, skewed clocks and callers whose
// clocks are wrong by minutes.
func TestRunsAtMostOnceAndNotRunStaysTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: start, ran: map[model.RequestID]int{}, notRun: map[model.RequestID]time.Time{}}
		for range 3 {
			s.lessors = append(s.lessors, &lessor{})
		}
		for i := range s.lessors {
			s.lessors[i].skew = drawSkew(t)
			s.lessors[i].table = New(Limits{MaxEntries: 2 * shardCount, MaxBodyBytes: 64 * shardCount})
		}
		s.makeSender(s.lessors[0])
		t.Repeat(map[string]func(*rapid.T){
			"advance": s.advance, "new": s.newID, "receive": s.receive, "receive2": s.receive, "deliver": s.deliver,
			"deliver2": s.deliver, "finish": s.finish, "close": s.closeID, "lose": s.replaceVM,
			"usurp": s.replaceSender, "hand": s.handOver, "renew": s.renew,
		})
	})
}

// Guards against admitting a closed ID for whose entry the table had no room, and against refusing it for longer than
// necessary.
func TestFullTableKeepsClosedIDs(t *testing.T) {
	table := New(Limits{MaxEntries: shardCount})
	table.Cover(slot, fence, start.Add(-time.Hour), model.Term{})
	first, second := model.RequestIDAt(start, 1<<8), model.RequestIDAt(start, 2<<8)
	receivedMillis := start.UnixMilli()
	require.Equal(t, Run, table.Admit(start, slot, fence, first, receivedMillis).Decision)
	require.Equal(t, Full, table.Admit(start, slot, fence, second, receivedMillis).Decision)
	got, _ := table.Close(start, slot, second, receivedMillis, start)
	require.Equal(t, CloseNotRun, got)
	table.Abort(first)
	require.Equal(t, Closed, table.Admit(start, slot, fence, second, receivedMillis).Decision, "closed without room for an entry")
	require.Equal(t, Run, table.Admit(start.Add(time.Second), slot, fence, second, receivedMillis+1000).Decision)
}

// Guards against a handover after which the next lessor runs a completed ID again or refuses new IDs, or after which
// the old lessor still admits IDs.
func TestHandoverKeepsRepliesAndHorizon(t *testing.T) {
	old, next := New(Limits{}), New(Limits{})
	old.Cover(slot, fence, start.Add(-time.Hour), model.Term{})
	id := model.RequestIDAt(start, 1)
	term := model.Term{Epoch: 3}
	require.Equal(t, Run, old.Admit(start, slot, fence, id, start.UnixMilli()).Decision)
	old.Finish(id, message.ForwardReply{Body: []byte("filed")})
	handovers := old.Export([]model.Slot{slot}, term)
	require.Equal(t, NotCovered, old.Admit(start, slot, fence, id, start.UnixMilli()).Decision)
	require.True(t, next.Import(start, handovers[0]))
	next.Cover(slot, fence, start, term)
	require.Equal(t, "filed", string(next.Admit(start, slot, fence, id, start.UnixMilli()).Reply.Body))
	fresh := model.RequestIDAt(start, 2)
	require.Equal(t, Run, next.Admit(start, slot, fence, fresh, start.UnixMilli()).Decision)
}
