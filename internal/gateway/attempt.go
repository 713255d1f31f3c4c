package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/picker"
	"github.com/tarragonpoint/tarragonpoint/internal/registry"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/upstream"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

// try is the end of one attempt.
type try struct {
	place   placement
	answer  *platform.Answer
	err     error
	outcome attemptOutcome
}

// attempt sends a request to a target. It returns false if the request is to be placed again. When the answer to a
// request that may be repeated is overdue, a second attempt is made beside the first, and the first good answer counts.
func (g *gateway) attempt(ctx context.Context, j *job, place placement) (reply, bool) {
	now := g.clock.Now()
	if j.sends > 0 && !g.budget(j.service).Take(now, g.retryBurst()) {
		return refuse(result.Overloaded, "retry budget is spent", loadedRetry), true
	}
	callCtx, cancel := g.attemptContext(ctx, j, now)
	defer cancel()
	tries := make(chan try, maxParallel)
	g.launch(callCtx, j, place, tries)
	flying := 1
	hedge := time.NewTimer(hedgeDelay(j, place))
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if g.hedge(callCtx, j, tries) {
				flying++
			}
		case t := <-tries:
			flying--
			j.mayHaveRun = j.mayHaveRun || t.outcome == unknownRun || t.outcome == failedRun
			if t.outcome == answered || flying == 0 {
				return g.judge(ctx, g.clock.Now(), j, t)
			}
		}
	}
}

const (
	// maxParallel is the number of attempts of a request at the same time.
	maxParallel = 2
	// hedgeFactor is how many times the expected time an answer may take before a second attempt is made.
	hedgeFactor = 2.5
	// minHedgeDelay keeps short requests from being repeated for a moment's delay.
	minHedgeDelay = 250 * time.Millisecond
	// hedgeBurst is the part of the retry burst that second attempts may use; the rest is for requests that were refused.
	hedgeBurst = 0.5
	// never is a delay beyond every deadline.
	never = time.Hour
)

// hedgeDelay returns when a second attempt is made beside the first.
func hedgeDelay(j *job, place placement) time.Duration {
	if j.route.Kind != fleet.Idempotent || j.sends >= max(maxParallel, j.route.MaxAttempts) {
		return never
	}
	return max(minHedgeDelay, time.Duration(hedgeFactor*float64(place.estimate.Total)))
}

// hedge makes a second attempt if there is time, room and budget for it.
func (g *gateway) hedge(ctx context.Context, j *job, tries chan<- try) bool {
	now := g.clock.Now()
	if j.route.MaxAttempts < maxParallel || j.left(now) < g.picker.Work(j.route.Name) {
		return false
	}
	if _, ok := g.resolve(j); !ok {
		return false
	}
	place := g.choose(j)
	if place.verdict != placeSend || !g.budget(j.service).Take(now, g.retryBurst()*hedgeBurst) {
		return false
	}
	g.metrics.hedge(string(j.service))
	g.launch(ctx, j, place, tries)
	return true
}

// launch starts one attempt.
func (g *gateway) launch(ctx context.Context, j *job, place placement, tries chan<- try) {
	now := g.clock.Now()
	j.sends++
	j.tried = append(j.tried, place.target.Incarnation())
	ticket := g.picker.Begin(now, g.pickerRequest(j), &place.target)
	call := &platform.Call{
		Method: j.request.Method, URI: j.uri, Host: j.request.Host, Header: j.request.Header, Body: j.body,
		AttemptID: j.meta.AttemptID, Left: j.left(now), Target: place.target.ID,
	}
	service, key := j.service, j.meta.Key
	ended := g.metrics.attempt()
	go func() {
		defer ended()
		answer, err := g.targets.Do(ctx, place.target.Address, call)
		end := g.clock.Now()
		outcome := classify(answer, err)
		g.picker.End(end, ticket, pickerResult(answer, outcome))
		g.countBytes(j.route.Name, &place.target, len(call.Body), answer)
		g.learn(end, service, key, place, answer, err, end.Sub(now))
		tries <- try{place: place, answer: answer, err: err, outcome: outcome}
	}()
}

// retryBurst returns this VM's part of the burst of the retry budget.
func (g *gateway) retryBurst() float64 {
	return g.settings.RetryBurst * burstCaution / g.fleetSize()
}

// attemptContext ends at the request's deadline. When the caller leaves, only a request that may be repeated is cut
// off: another one is left to end, so that its target need not guess what became of it.
func (g *gateway) attemptContext(ctx context.Context, j *job, now model.Instant) (context.Context, context.CancelFunc) {
	if j.route.Kind != fleet.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, j.left(now))
	stop := context.AfterFunc(g.requests, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// attemptOutcome says what is known of an attempt.
type attemptOutcome uint8

const (
	// answered means a complete answer of the target that ran the request.
	answered attemptOutcome = iota
	// failedRun is such an answer that reports a failure of the target.
	failedRun
	// notRun means that the request did not run and never will.
	notRun
	// unknownRun means that the request may have run.
	unknownRun
)

func classify(answer *platform.Answer, err error) attemptOutcome {
	switch {
	case err != nil && errorx.IsOfType(err, upstream.ErrNotSent):
		return notRun
	case err != nil:
		return unknownRun
	case answer.NotRun:
		return notRun
	case answer.Status < http.StatusMultipleChoices && !answer.Sealed:
		return unknownRun
	case answer.Status >= http.StatusInternalServerError:
		return failedRun
	}
	return answered
}

func pickerResult(answer *platform.Answer, outcome attemptOutcome) picker.Result {
	r := picker.Result{Responded: outcome == answered, Failed: outcome != answered}
	if answer != nil && answer.Load != nil {
		r.Report = &picker.Report{
			Running: answer.Load.Running, Waiting: answer.Load.Waiting, Slots: answer.Load.Slots, Slowness: answer.Load.Slowness,
		}
	}
	return r
}

// countBytes counts the bytes of a request and its answer by how far they went.
func (g *gateway) countBytes(route string, target *fleet.Target, sent int, answer *platform.Answer) {
	size := sent
	if answer != nil {
		size += len(answer.Body)
	}
	distance := "zone"
	switch {
	case target.Region != model.Region(g.settings.Region):
		distance = "other-region"
	case target.Zone != model.Zone(g.settings.Zone):
		distance = "region"
	}
	g.metrics.bytes(route, distance, size)
}

// learn records what an attempt showed of its target.
func (g *gateway) learn(now model.Instant, service model.Service, key int, place placement, answer *platform.Answer, err error, took time.Duration) {
	if key >= 0 && g.state.config.Load().Services[service].Keyed {
		g.work.add(service, key, min(took, maxKeyWork))
	}
	if err != nil && errorx.IsOfType(err, upstream.ErrTimeout) && took > silentAfter {
		// The connections to the target may have gone silent, which only a time-out shows.
		g.targets.Pool().Forget(place.target.Address)
	}
	unreachable := err != nil && errorx.IsOfType(err, upstream.ErrNotSent)
	replaced := answer != nil && answer.OtherTarget != ""
	if unreachable || replaced {
		g.targets.Pool().Forget(place.target.Address)
		g.state.withRegistry(func(r *registry.Registry) { r.RecordFailure(now, place.target.Incarnation()) })
	}
}

// silentAfter is how long a request that is given up must have waited for its target's connections to be suspected.
const silentAfter = time.Second

// maxKeyWork bounds the work that one request adds to its key's load, so that a silent target is not taken for load.
const maxKeyWork = 2 * time.Second

// judge decides what follows an attempt.
func (g *gateway) judge(ctx context.Context, now model.Instant, j *job, t try) (reply, bool) {
	base := reply{target: t.place.target.ID, estimate: &t.place.estimate, age: t.place.age, err: t.err}
	if t.outcome == answered {
		base.answer = t.answer
		base.code = result.OK
		return base, true
	}
	if ctx.Err() != nil {
		base.code, base.reason = result.OutcomeUnknown, "caller left"
		return base, true
	}
	if g.requests.Err() != nil {
		base.code, base.reason = result.OutcomeUnknown, "process stops before the answer"
		return base, true
	}
	repeatable := t.outcome == notRun || j.route.Kind == fleet.Idempotent
	if t.answer != nil && t.answer.Misplaced {
		// The owner takes its keys in a moment; a request that comes back at once would spend the retry budget.
		g.await(ctx, g.state.change(), misplacedWait)
	}
	if repeatable && j.sends < g.maxSends(j, t.outcome) && j.left(now) > g.picker.Work(j.route.Name)/2 {
		g.metrics.retry(string(j.service))
		return base, false
	}
	return g.giveUp(now, j, base, t.answer, t.outcome), true
}

// maxRefusedSends bounds the sends of a request that targets refused without running it.
const maxRefusedSends = 3

func (g *gateway) maxSends(j *job, outcome attemptOutcome) int {
	if outcome == notRun {
		return max(maxRefusedSends, j.route.MaxAttempts)
	}
	return j.route.MaxAttempts
}

// giveUp returns the answer for a request that is not sent again.
func (g *gateway) giveUp(now model.Instant, j *job, base reply, answer *platform.Answer, outcome attemptOutcome) reply {
	switch outcome {
	case failedRun:
		base.answer = answer
		base.code, base.reason = result.TargetFailed, "target failed the request"
	case notRun:
		base.code, base.reason, base.retryAfter = result.Overloaded, "targets refused the request", loadedRetry
	default:
		base.code, base.reason = result.OutcomeUnknown, "no whole answer"
		if j.left(now) <= 0 {
			base.code, base.reason = result.DeadlineMissed, "deadline passed before the answer"
		}
	}
	return base
}
