package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/overload"
	"github.com/tarragonpoint/tarragonpoint/internal/picker"
	"github.com/tarragonpoint/tarragonpoint/internal/registry"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/upstream"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

// job is one request of a caller.
type job struct {
	arrived model.Instant
	// ends is when the caller, or the operators' timeout, gives up.
	ends    model.Instant
	meta    platform.Meta
	request *http.Request
	uri     string
	path    string
	body    []byte
	// route and service are decided anew before each attempt, by the configuration then in force.
	route   *fleet.Route
	version uint64
	service model.Service
	tried   []fleet.Life
	sends   int
	// mayHaveRun is true once an attempt ended without word that it did not run.
	mayHaveRun bool
}

func (j *job) left(now model.Instant) time.Duration { return j.ends.Sub(now) }

// reply is what a caller gets.
type reply struct {
	code result.Code
	// answer is a target's answer that is passed on; nil for an answer of this VM.
	answer *platform.Answer
	// retryAfter tells the caller when to come back; 0 if it should not.
	retryAfter time.Duration
	reason     string
	target     model.TargetID
	// estimate is the one that decided; nil if none did.
	estimate *picker.Estimate
	age      time.Duration
	err      error
}

func refuse(code result.Code, reason string, retryAfter time.Duration) reply {
	return reply{code: code, reason: reason, retryAfter: retryAfter}
}

// dispatch serves a request. ctx ends when the caller has left. A request of which an attempt may have run is never
// answered as not run.
func (g *gateway) dispatch(ctx context.Context, j *job) reply {
	answer := g.dispatchAttempts(ctx, j)
	if j.mayHaveRun && answer.answer == nil && result.Lookup(answer.code).Outcome == result.NotRun {
		answer.code = result.OutcomeUnknown
		answer.retryAfter = 0
	}
	return answer
}

// dispatchAttempts places and sends a request until it has an answer or is given up.
func (g *gateway) dispatchAttempts(ctx context.Context, j *job) reply {
	counted := model.Service("")
	for {
		if ctx.Err() != nil {
			return refuse(result.DeadlinePassed, "caller left", 0)
		}
		if failed, ok := g.resolve(j); !ok {
			return failed
		}
		if counted != j.service {
			counted = j.service
			g.budget(j.service).Request(g.clock.Now())
		}
		change := g.state.change()
		place := g.choose(j)
		switch place.verdict {
		case placeRefused:
			return place.reply
		case placeWait:
			if !g.await(ctx, change, place.wait) {
				return refuse(result.DeadlinePassed, "caller left", 0)
			}
			continue
		}
		done, final := g.attempt(ctx, j, place)
		if final {
			return done
		}
	}
}

// await waits for a change of the state. It returns false if ctx ends first.
func (g *gateway) await(ctx context.Context, change <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-change:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// resolve finds the route and the service of a request in the newest configuration.
func (g *gateway) resolve(j *job) (reply, bool) {
	config := g.state.config.Load()
	if config == nil {
		return refuse(result.NotReady, "no configuration yet", notReadyRetry), false
	}
	route := config.Route(j.request.Host, j.path)
	if route == nil {
		return refuse(result.UnknownService, "no route", 0), false
	}
	now := g.clock.Now()
	if route.Timeout > 0 {
		j.ends = min(j.ends, j.arrived.Add(route.Timeout))
	}
	if j.left(now) <= 0 {
		return refuse(result.DeadlinePassed, "deadline passed before it was sent", 0), false
	}
	if j.route == nil || j.version != config.Version || !hasBackend(route, j.service) {
		if j.route == nil || !hasBackend(route, j.service) {
			j.service = g.split.choose(route)
		}
		j.route = route
		j.version = config.Version
	}
	if config.Services[j.service].Keyed && j.meta.Key < 0 {
		return refuse(result.KeyRequired, "no key", 0), false
	}
	return reply{}, true
}

func hasBackend(route *fleet.Route, service model.Service) bool {
	for _, backend := range route.Backends {
		if backend.Service == service {
			return true
		}
	}
	return false
}

type placeVerdict uint8

const (
	placeSend placeVerdict = iota
	placeWait
	placeRefused
)

// placement says what to do with a request now.
type placement struct {
	verdict  placeVerdict
	target   fleet.Target
	age      time.Duration
	estimate picker.Estimate
	wait     time.Duration
	reply    reply
}

const (
	// notReadyRetry is when callers come back to a VM that has no configuration yet.
	notReadyRetry = 500 * time.Millisecond
	// moveRetry is when callers come back whose keys have no owner.
	moveRetry = 500 * time.Millisecond
	// loadedRetry is when callers come back whose service has no room.
	loadedRetry = 300 * time.Millisecond
	// coldWait is how long a request waits whose cold target was taken by another one in the same moment.
	coldWait = 5 * time.Millisecond
	// misplacedWait is how long a request waits whose owner does not hold its key yet.
	misplacedWait = 80 * time.Millisecond
	// waitStep is how long a request waits for a change before it is judged again.
	waitStep = 100 * time.Millisecond
)

// choose chooses the target of a request.
func (g *gateway) choose(j *job) placement {
	now := g.clock.Now()
	config := g.state.config.Load()
	if config.Services[j.service].Keyed {
		return g.placeKeyed(now, j)
	}
	return g.placeFree(now, j, config.Services[j.service])
}

func (g *gateway) pickerRequest(j *job) picker.Request {
	return picker.Request{Route: j.route.Name, Zone: model.Zone(g.settings.Zone), Region: model.Region(g.settings.Region)}
}

// placeFree chooses among all targets of a service without keys. Cold targets take part as far as they bear it.
func (g *gateway) placeFree(now model.Instant, j *job, service fleet.Service) placement {
	entries := g.state.service(now, j.service)
	targets := g.eligible(now, j, service, entries, true)
	if len(targets) == 0 {
		targets = g.eligible(now, j, service, entries, false)
	}
	choice, found := g.picker.Choose(now, g.pickerRequest(j), targets)
	if !found {
		return placement{verdict: placeRefused, reply: refuse(result.NoTarget, "no target may serve the route", loadedRetry)}
	}
	if decision := g.decide(now, j, choice.Estimate.Total); !decision.Send {
		return overloaded(decision, choice.Estimate)
	}
	target := targets[choice.Index]
	if now < target.ColdUntil && !g.allowCold(now, service, target.Life(), true) {
		return placement{verdict: placeWait, wait: coldWait}
	}
	return placement{verdict: placeSend, target: target, estimate: choice.Estimate}
}

func (g *gateway) allowCold(now model.Instant, service fleet.Service, life fleet.Life, take bool) bool {
	bound := service.ColdRate*g.settings.ColdFactor + g.settings.ColdBurst
	return g.cold.allow(now, life, bound, g.place.Load(), take)
}

// eligible returns the targets that may take the request now. With fresh, targets that had an attempt are left out.
func (g *gateway) eligible(now model.Instant, j *job, service fleet.Service, entries []registry.Entry, fresh bool) []fleet.Target {
	var targets []fleet.Target
	for i := range entries {
		target := &entries[i].Target
		if entries[i].State == registry.Unavailable || !j.route.AllowsRegion(target.Region) {
			continue
		}
		if fresh && j.wasTried(target.Life()) {
			continue
		}
		if entries[i].State == registry.Cold && !g.allowCold(now, service, target.Life(), false) {
			continue
		}
		targets = append(targets, *target)
	}
	return targets
}

// decide says whether a request is worth sending to a target that is expected to answer after a time.
func (g *gateway) decide(now model.Instant, j *job, expected time.Duration) overload.Decision {
	before := g.deadlines.elapsed(j.route.Name, j.meta.Deadline)
	return overload.Decide(overload.Request{
		Elapsed: before + now.Sub(j.arrived), Left: j.left(now), LatencyTarget: j.route.LatencyTarget,
		Returned: before > 0 || j.sends > 0, Urgent: g.isUrgent(j),
	}, expected)
}

// isUrgent reports whether other routes of the service are less urgent.
func (g *gateway) isUrgent(j *job) bool {
	return j.route.Priority < g.state.config.Load().LeastUrgent(j.service)
}

func overloaded(decision overload.Decision, estimate picker.Estimate) placement {
	refused := refuse(result.Overloaded, decision.Reason, decision.RetryAfter)
	refused.estimate = &estimate
	return placement{verdict: placeRefused, reply: refused}
}

func (j *job) wasTried(life fleet.Life) bool {
	for _, tried := range j.tried {
		if tried == life {
			return true
		}
	}
	return false
}

// placeKeyed finds the owner of a request's key.
func (g *gateway) placeKeyed(now model.Instant, j *job) placement {
	table := g.state.table.Load()
	if table == nil {
		return placement{verdict: placeRefused, reply: refuse(result.NotReady, "no assignment of keys yet", notReadyRetry)}
	}
	r := table.Find(j.service, j.meta.Key)
	if r == nil || !r.Ready {
		return g.placeOwnerless(now, j, "keys are being moved")
	}
	entry, found := g.state.lookup(now, r.Owner.Life.ID)
	if !found || entry.Leaving || entry.Target.Life() != r.Owner.Life {
		return g.placeOwnerless(now, j, "owner is leaving or gone")
	}
	if !j.route.AllowsRegion(entry.Target.Region) {
		return placement{verdict: placeRefused, reply: refuse(result.NoTarget, "owner is outside of the home regions", moveRetry)}
	}
	if entry.State == registry.Unavailable {
		return g.placeOwnerless(now, j, "owner cannot be reached")
	}
	service := g.state.config.Load().Services[j.service]
	if entry.State == registry.Cold && !g.allowCold(now, service, r.Owner.Life, true) {
		return g.placeOwnerless(now, j, "owner is cold")
	}
	estimate := g.picker.Estimate(now, g.pickerRequest(j), &entry.Target)
	if decision := g.decide(now, j, estimate.Total); !decision.Send {
		return overloaded(decision, estimate)
	}
	return placement{verdict: placeSend, target: entry.Target, age: entry.Age, estimate: estimate}
}

// placeOwnerless lets a request wait for its key's next owner while that can come in time.
func (g *gateway) placeOwnerless(now model.Instant, j *job, reason string) placement {
	left := j.left(now)
	if left < g.picker.Work(j.route.Name) || g.draining.Load() {
		return placement{verdict: placeRefused, reply: refuse(result.OwnerUnavailable, reason, moveRetry)}
	}
	return placement{verdict: placeWait, wait: min(waitStep, left)}
}

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
	j.tried = append(j.tried, place.target.Life())
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
	r := picker.Result{Answered: outcome == answered, Failed: outcome != answered}
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
		g.state.withRegistry(func(r *registry.Registry) { r.Failed(now, place.target.Life()) })
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
