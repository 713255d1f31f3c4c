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

// lessor is one VM with its own clock and table; confirmed is the real time of its last accepted renewal.
type lessor struct {
	skew      time.Duration
	table     *Table
	term      model.Term
	confirmed time.Time
}

// attempt is one attempt on its way to a lessor. Its stamp is the wall clock of the entry VM that received it.
type attempt struct {
	id       model.RequestID
	received time.Time
	stamp    int64
}

type flight struct {
	id model.RequestID
	on *lessor
}

// world is the oracle: plain maps of what ran and of when "not run" was said.
type world struct {
	now      time.Time
	lessors  []*lessor
	current  *lessor
	ids      []model.RequestID
	attempts []attempt
	flights  []flight
	ran      map[model.RequestID]int
	notRun   map[model.RequestID]time.Time
	terms    uint16
}

func drawSkew(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(-125, 125).Draw(t, "skew")) * time.Millisecond
}

func (l *lessor) wall(now time.Time) time.Time { return now.Add(l.skew) }

// succeed makes l the sender; previous is what the target reports as the term before.
func (w *world) succeed(l *lessor) {
	previous := model.Term{}
	if w.current != nil {
		previous = w.current.term
	}
	w.terms++
	l.term = model.Term{Epoch: 1, Rank: w.terms}
	l.confirmed = w.now
	l.table.Cover(slot, fence, l.wall(w.now), previous)
	w.current = l
}

func (w *world) advance(t *rapid.T) {
	step := rapid.SampledFrom([]int{1, 20, 150, 240, 700, 1100, 60_000, 290_000}).Draw(t, "step")
	w.now = w.now.Add(time.Duration(step) * time.Millisecond)
}

func (w *world) newID(t *rapid.T) {
	offset := rapid.SampledFrom([]int{0, 0, 0, 200, 760, 900, 1400, 120_000, -1000, -240_000}).Draw(t, "offset")
	at := w.now.Add(time.Duration(offset) * time.Millisecond)
	w.ids = append(w.ids, model.RequestIDAt(at, uint64(len(w.ids)%3)))
}

func (w *world) receive(t *rapid.T) {
	if len(w.ids) == 0 {
		t.Skip("no ID")
	}
	id := rapid.SampledFrom(w.ids).Draw(t, "id")
	stamp := w.now.Add(drawSkew(t)).UnixMilli()
	w.attempts = append(w.attempts, attempt{id: id, received: w.now, stamp: stamp})
}

// deliver lets an attempt arrive at the sender or at a VM that still believes to be it. The target refuses the latter.
func (w *world) deliver(t *rapid.T) {
	if len(w.attempts) == 0 {
		t.Skip("no attempt")
	}
	a := rapid.SampledFrom(w.attempts).Draw(t, "attempt")
	l := rapid.SampledFrom([]*lessor{w.current, w.current, rapid.SampledFrom(w.lessors).Draw(t, "any")}).Draw(t, "lessor")
	if l.table.Admit(l.wall(w.now), slot, fence, a.id, a.stamp).Decision != Run {
		return
	}
	if l != w.current {
		l.table.Abort(a.id)
		return
	}
	if rapid.IntRange(0, 3).Draw(t, "shed") == 0 {
		l.table.Abort(a.id)
		return
	}
	require.Zero(t, w.ran[a.id], "ran twice")
	if said, found := w.notRun[a.id]; found {
		require.True(t, a.received.After(said), "an attempt received while \"not run\" was valid ran later")
	}
	w.ran[a.id]++
	w.flights = append(w.flights, flight{id: a.id, on: l})
}

func (w *world) finish(t *rapid.T) {
	if len(w.flights) == 0 {
		t.Skip("nothing in flight")
	}
	f := rapid.SampledFrom(w.flights).Draw(t, "flight")
	if rapid.Bool().Draw(t, "lost") {
		f.on.table.MarkUnknown(f.id)
		return
	}
	f.on.table.Finish(f.id, message.ForwardReply{Body: make([]byte, 40)})
}

func (w *world) closeID(t *rapid.T) {
	if len(w.attempts) == 0 {
		t.Skip("no attempt")
	}
	a := rapid.SampledFrom(w.attempts).Draw(t, "attempt")
	l := rapid.SampledFrom(w.lessors).Draw(t, "lessor")
	got, _ := l.table.Close(l.wall(w.now), slot, a.id, a.stamp, l.wall(l.confirmed))
	if got == CloseNotRun {
		require.Zero(t, w.ran[a.id], "\"not run\" for a request that ran")
		w.notRun[a.id] = w.now.Add(NotRunValidity)
	}
}

// lose replaces a VM by an empty one, which takes over at once.
func (w *world) lose(t *rapid.T) {
	fresh := &lessor{skew: drawSkew(t), table: New(Limits{MaxEntries: 2 * shardCount, MaxBodyBytes: 64 * shardCount})}
	w.lessors[rapid.IntRange(0, len(w.lessors)-1).Draw(t, "lost")] = fresh
	w.succeed(fresh)
}

// usurp makes another VM the sender while the old one keeps its table and does not know.
func (w *world) usurp(t *rapid.T) { w.succeed(rapid.SampledFrom(w.lessors).Draw(t, "next")) }

// hand stops the sender with a handover, which may arrive late and after another VM acted.
func (w *world) hand(t *rapid.T) {
	old := w.current
	next := rapid.SampledFrom(w.lessors).Draw(t, "next")
	handovers := old.table.Export([]model.Slot{slot}, old.term)
	if rapid.IntRange(0, 2).Draw(t, "between") == 0 {
		w.lose(t)
		w.now = w.now.Add(2 * time.Second)
		w.newID(t)
		w.receive(t)
		w.deliver(t)
		w.deliver(t)
	}
	early := rapid.Bool().Draw(t, "early")
	if !early {
		w.succeed(next)
	}
	for _, h := range handovers {
		next.table.Import(next.wall(w.now), h)
	}
	if early {
		w.succeed(next)
	}
}

func (w *world) renew(*rapid.T) { w.current.confirmed = w.now }

// TestNeverTwiceAndNeverFalselyNotRun guards against a double run and against a "not run" that is or becomes false, under
// successive senders, lost tables, handovers, delayed attempts, skewed clocks and callers whose clocks are minutes wrong.
func TestNeverTwiceAndNeverFalselyNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: start, ran: map[model.RequestID]int{}, notRun: map[model.RequestID]time.Time{}}
		for range 3 {
			w.lessors = append(w.lessors, &lessor{})
		}
		for i := range w.lessors {
			w.lessors[i].skew = drawSkew(t)
			w.lessors[i].table = New(Limits{MaxEntries: 2 * shardCount, MaxBodyBytes: 64 * shardCount})
		}
		w.succeed(w.lessors[0])
		t.Repeat(map[string]func(*rapid.T){
			"advance": w.advance, "new": w.newID, "receive": w.receive, "receive2": w.receive, "deliver": w.deliver,
			"deliver2": w.deliver, "finish": w.finish, "close": w.closeID, "lose": w.lose, "usurp": w.usurp, "hand": w.hand,
			"renew": w.renew,
		})
	})
}

func TestFullTableRefusesWithoutForgetting(t *testing.T) {
	table := New(Limits{MaxEntries: shardCount})
	table.Cover(slot, fence, start.Add(-time.Hour), model.Term{})
	first, second := model.RequestIDAt(start, 1<<8), model.RequestIDAt(start, 2<<8)
	stamp := start.UnixMilli()
	require.Equal(t, Run, table.Admit(start, slot, fence, first, stamp).Decision)
	require.Equal(t, Full, table.Admit(start, slot, fence, second, stamp).Decision)
	got, _ := table.Close(start, slot, second, stamp, start)
	require.Equal(t, CloseNotRun, got)
	table.Abort(first)
	require.Equal(t, Closed, table.Admit(start, slot, fence, second, stamp).Decision, "closed without room for a mark")
	require.Equal(t, Run, table.Admit(start.Add(time.Second), slot, fence, second, stamp+1000).Decision)
}

func TestHandoverKeepsAnswersAndHorizon(t *testing.T) {
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
