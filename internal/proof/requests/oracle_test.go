package requests

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/dispatch"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// callerRequest is one request of a caller with all its submissions to entry VMs.
type callerRequest struct {
	name        string
	tenant      model.Tenant
	service     model.Service
	key         string
	id          *model.RequestID
	idempotent  bool
	path        string
	body        []byte
	submissions []*submission
}

// submission is one delivery of a request to an entry VM, and the response to it.
type submission struct {
	request    *callerRequest
	receivedBy *process
	received   time.Time
	ended      time.Time
	response   dispatch.Response
	// known is false if the caller disconnected or the entry VM failed before the response.
	known bool
}

// run is one execution of a request at a target.
type run struct {
	standin.Run
	submission *submission
	startedAt  time.Time
	server     *server
}

// oracle records the requests and responses of callers and the attempts that reach targets, and checks them.
type oracle struct {
	w                    *world
	mu                   sync.Mutex
	submissions          []*submission
	submissionsByNumber  map[string]*submission
	submissionsByAttempt map[string]*submission
	// nonIdempotentForwards maps the forwarded attempts of non-idempotent requests to their submissions. outcomeUnknown
	// holds the submissions whose receiver has been told that they may have run. Both use the numbers of
	// submissionHeader.
	nonIdempotentForwards map[string]string
	outcomeUnknown        map[string]bool
}

func newOracle(w *world) *oracle {
	return &oracle{
		w: w, submissionsByNumber: map[string]*submission{}, submissionsByAttempt: map[string]*submission{},
		nonIdempotentForwards: map[string]string{}, outcomeUnknown: map[string]bool{},
	}
}

// recordSent records each message that an entry VM sends. It requires that a non-idempotent request that may have run
// is not forwarded again.
func (o *oracle) recordSent(from *vm, m message.Message) {
	if m.Forward == nil || m.Forward.Idempotent {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	number := m.Forward.Header[submissionHeader][0]
	if o.outcomeUnknown[number] {
		o.w.fail("%s forwarded %s again although it may have run", from.id, o.submissionsByNumber[number].request.name)
	}
	o.nonIdempotentForwards[m.Forward.Attempt] = number
}

// recordDelivered records each message that a running process receives.
func (o *oracle) recordDelivered(m message.Message) {
	if m.ForwardReply == nil || m.ForwardReply.Outcome != result.Unknown {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if number, once := o.nonIdempotentForwards[m.ForwardReply.Attempt]; once {
		o.outcomeUnknown[number] = true
	}
}

// recordArrival records that an attempt reached a target.
func (w *world) recordArrival(s *server, from *process, r *http.Request, body []byte) {
	o := w.oracle
	o.mu.Lock()
	defer o.mu.Unlock()
	by := o.submissionsByNumber[r.Header.Get(submissionHeader)]
	if by == nil {
		w.fail("%s received a request that no caller sent", s.id)
		return
	}
	w.checkResidency("a request to "+string(s.id), append([]byte(r.URL.Path), body...), s.region)
	attempt := r.Header.Get("Tarragon-Attempt")
	if _, again := o.submissionsByAttempt[attempt]; again {
		w.fail("%s sent attempt %s of %s twice", from.vm.id, attempt, by.request.name)
	}
	o.submissionsByAttempt[attempt] = by
}

// check compares all responses with all runs.
func (o *oracle) check() {
	o.mu.Lock()
	defer o.mu.Unlock()
	runs := map[*callerRequest][]run{}
	for _, s := range o.w.servers {
		for _, seen := range s.target.Runs() {
			by := o.submissionsByAttempt[seen.Attempt]
			runs[by.request] = append(runs[by.request], run{
				Run: seen, submission: by, startedAt: s.wallTime(seen.Start), server: s,
			})
		}
	}
	for request, all := range runs {
		if !request.idempotent && len(all) > 1 {
			o.w.fail("%s ran %d times: %s", request.name, len(all), describe(all))
		}
	}
	for _, t := range o.submissions {
		if t.known {
			o.checkResponse(t, runs[t.request])
		}
	}
	o.checkRetries(runs)
	o.checkFences(runs)
	o.checkTerms(runs)
}

// checkTerms requires that an incarnation of a target runs no request of a former lessor once it has run one of its
// successor.
func (o *oracle) checkTerms(runs map[*callerRequest][]run) {
	byProcess := map[model.Incarnation][]run{}
	for _, all := range runs {
		for _, seen := range all {
			if seen.Term != "" {
				byProcess[seen.Incarnation] = append(byProcess[seen.Incarnation], seen)
			}
		}
	}
	for _, all := range byProcess {
		slices.SortFunc(all, func(a, b run) int { return a.startedAt.Compare(b.startedAt) })
		for i := 1; i < len(all); i++ {
			if all[i].term().Less(all[i-1].term()) {
				o.w.fail("%s ran a request of a former lessor: %s", all[i].server.id, describe(all[i-1:i+1]))
			}
		}
	}
}

func (r run) term() model.Term {
	epoch, rank, _ := strings.Cut(r.Term, ".")
	e, _ := strconv.ParseUint(epoch, 10, 64)
	k, _ := strconv.ParseUint(rank, 10, 16)
	return model.Term{Epoch: model.Offset(e), Rank: uint16(k)}
}

// checkFences requires that no request of a slot runs under a lower fence once one has run under a higher fence on any
// target.
func (o *oracle) checkFences(runs map[*callerRequest][]run) {
	bySlot := map[string][]run{}
	for _, all := range runs {
		for _, seen := range all {
			if seen.Slot != "" {
				bySlot[seen.Slot] = append(bySlot[seen.Slot], seen)
			}
		}
	}
	for slot, all := range bySlot {
		slices.SortFunc(all, func(a, b run) int { return a.startedAt.Compare(b.startedAt) })
		for i := 1; i < len(all); i++ {
			if all[i].fence() < all[i-1].fence() {
				o.w.fail("slot %s ran under a lower fence: %s", slot, describe(all[i-1:i+1]))
			}
		}
	}
}

func (r run) fence() uint64 {
	fence, _ := strconv.ParseUint(r.Fence, 10, 64)
	return fence
}

func (o *oracle) checkResponse(t *submission, runs []run) {
	switch t.response.Outcome {
	case result.Ran:
		if err := standin.VerifyResponse(t.response.Body, t.request.name, t.request.body); err != nil {
			o.w.fail("%s at %s: %v: %q", t.request.name, t.receivedBy.vm.id, err, t.response.Body)
		}
		if len(runs) == 0 {
			o.w.fail("%s has the outcome \"ran\" but has not run", t.request.name)
		}
	case result.NotRun:
		for _, seen := range runs {
			own := seen.submission == t
			covered := !t.request.idempotent && (!seen.startedAt.After(t.ended) || !seen.submission.received.After(t.ended))
			if own || covered {
				o.w.fail("%s has the outcome \"not run\" at %s after %v with code %d but ran: %s",
					t.request.name, t.receivedBy.vm.id, t.ended.Sub(o.w.log.startedAt()), t.response.Code, describe(runs))
			}
		}
	}
}

// checkRetries compares the runs beyond the first of each submission with the budgets of the VM that received it.
func (o *oracle) checkRetries(runs map[*callerRequest][]run) {
	extra := map[*process]int{}
	for _, all := range runs {
		perSubmission := map[*submission]int{}
		for _, seen := range all {
			perSubmission[seen.submission]++
		}
		for by, count := range perSubmission {
			extra[by.receivedBy] += count - 1
		}
	}
	for _, p := range o.w.processes {
		counts := p.policies
		seconds := time.Since(p.started).Seconds()
		budget := float64(counts.requests)*retryPercent/100 + retryFloor*(seconds+10)
		if float64(counts.retried) > budget {
			o.w.fail("%s retried %d of %d requests", p.vm.id, counts.retried, counts.requests)
		}
		if float64(counts.hedged) > float64(counts.requests+counts.attempts)*hedgePercent/100 {
			o.w.fail("%s hedged %d of %d requests", p.vm.id, counts.hedged, counts.requests)
		}
		if extra[p] > counts.retried+counts.hedged {
			o.w.fail("%s sent %d more attempts than its budgets allow", p.vm.id, extra[p]-counts.retried-counts.hedged)
		}
	}
}
