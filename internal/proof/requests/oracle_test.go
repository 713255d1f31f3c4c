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
	// holds the submissions that may have run, because the VM that received them got a reply with the outcome unknown.
	// Both identify a submission by the number in submissionHeader.
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
	if number, found := o.nonIdempotentForwards[m.ForwardReply.Attempt]; found {
		o.outcomeUnknown[number] = true
	}
}

// recordArrival records that an attempt reached a target.
func (w *world) recordArrival(s *server, from *process, r *http.Request, body []byte) {
	o := w.oracle
	o.mu.Lock()
	defer o.mu.Unlock()
	submitted := o.submissionsByNumber[r.Header.Get(submissionHeader)]
	if submitted == nil {
		w.fail("%s received a request that no caller sent", s.id)
		return
	}
	w.checkResidency("a request to "+string(s.id), append([]byte(r.URL.Path), body...), s.region)
	attempt := r.Header.Get("Tarragon-Attempt")
	if _, again := o.submissionsByAttempt[attempt]; again {
		w.fail("%s sent attempt %s of %s twice", from.vm.id, attempt, submitted.request.name)
	}
	o.submissionsByAttempt[attempt] = submitted
}

// check compares all responses with all runs.
func (o *oracle) check() {
	o.mu.Lock()
	defer o.mu.Unlock()
	runs := map[*callerRequest][]run{}
	for _, s := range o.w.servers {
		for _, seen := range s.target.Runs() {
			submitted := o.submissionsByAttempt[seen.Attempt]
			runs[submitted.request] = append(runs[submitted.request], run{
				Run: seen, submission: submitted, startedAt: s.wallTime(seen.Start), server: s,
			})
		}
	}
	for request, all := range runs {
		if !request.idempotent && len(all) > 1 {
			o.w.fail("non-idempotent %s ran %d times: %s", request.name, len(all), describe(all))
		}
	}
	for _, submitted := range o.submissions {
		if submitted.known {
			o.checkResponse(submitted, runs[submitted.request])
		}
	}
	o.checkRetries(runs)
	o.checkFences(runs)
	o.checkTerms(runs)
}

// checkTerms requires that an incarnation of a target runs no request of a former lessor once it has run one of its
// successor.
func (o *oracle) checkTerms(runs map[*callerRequest][]run) {
	byIncarnation := map[model.Incarnation][]run{}
	for _, all := range runs {
		for _, seen := range all {
			if seen.Term != "" {
				byIncarnation[seen.Incarnation] = append(byIncarnation[seen.Incarnation], seen)
			}
		}
	}
	for _, all := range byIncarnation {
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
				o.w.fail("a request of slot %s ran under a lower fence than an earlier one: %s", slot, describe(all[i-1:i+1]))
			}
		}
	}
}

func (r run) fence() uint64 {
	fence, _ := strconv.ParseUint(r.Fence, 10, 64)
	return fence
}

// checkResponse compares a response with all runs of its request. The outcome "ran" requires a run and a body that
// matches the request. The outcome "not run" excludes runs of the same submission. For a non-idempotent request it also
// excludes every run that started before the response, and every run of a submission that was received before it.
func (o *oracle) checkResponse(submitted *submission, runs []run) {
	switch submitted.response.Outcome {
	case result.Ran:
		if err := standin.VerifyResponse(
			submitted.response.Body, submitted.request.name, submitted.request.body,
		); err != nil {
			o.w.fail("%s at %s: %v: %q", submitted.request.name, submitted.receivedBy.vm.id, err, submitted.response.Body)
		}
		if len(runs) == 0 {
			o.w.fail("%s has the outcome \"ran\" but has not run", submitted.request.name)
		}
	case result.NotRun:
		for _, seen := range runs {
			own := seen.submission == submitted
			excluded := !submitted.request.idempotent &&
				(!seen.startedAt.After(submitted.ended) || !seen.submission.received.After(submitted.ended))
			if own || excluded {
				o.w.fail("%s has the outcome \"not run\" at %s after %v with code %d but ran: %s",
					submitted.request.name, submitted.receivedBy.vm.id, submitted.ended.Sub(o.w.log.startedAt()),
					submitted.response.Code, describe(runs))
			}
		}
	}
}

// checkRetries requires that each process stays within its retry and hedge budgets, and that its submissions have no
// more runs beyond the first of each than it retried and hedged.
func (o *oracle) checkRetries(runs map[*callerRequest][]run) {
	extra := map[*process]int{}
	for _, all := range runs {
		perSubmission := map[*submission]int{}
		for _, seen := range all {
			perSubmission[seen.submission]++
		}
		for submitted, count := range perSubmission {
			extra[submitted.receivedBy] += count - 1
		}
	}
	for _, p := range o.w.processes {
		counts := p.policies
		seconds := time.Since(p.startedAt).Seconds()
		// A new retry budget contains the retries of 10 s at the rate of the floor.
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
