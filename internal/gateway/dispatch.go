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
	// expected is the estimate that decided; 0 if none did.
	expected time.Duration
	age      time.Duration
	err      error
}

func refuse(code result.Code, reason string, retryAfter time.Duration) reply {
	return reply{code: code, reason: reason, retryAfter: retryAfter}
}

// dispatch serves a request. ctx ends when the caller has left.
func (g *gateway) dispatch(ctx context.Context, j *job) reply {
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
		place := g.place(j)
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
	expected time.Duration
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
	// waitStep is how long a request waits for a change before it is judged again.
	waitStep = 100 * time.Millisecond
)

// place chooses the target of a request.
func (g *gateway) place(j *job) placement {
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

// placeFree chooses among all targets of a service without keys.
func (g *gateway) placeFree(now model.Instant, j *job, service fleet.Service) placement {
	entries := g.state.service(now, j.service)
	serving := eligible(j, entries, registry.Serving, true)
	if len(serving) == 0 {
		serving = eligible(j, entries, registry.Serving, false)
	}
	choice, found := g.picker.Choose(now, g.pickerRequest(j), serving)
	if !found {
		return g.placeCold(now, j, service, entries)
	}
	if hopeless(choice.Expected, j.left(now)) {
		refused := refuse(result.Overloaded, "expected time exceeds the time left", loadedRetry)
		refused.expected = choice.Expected
		return placement{verdict: placeRefused, reply: refused}
	}
	return placement{verdict: placeSend, target: serving[choice.Index], expected: choice.Expected}
}

// hopelessFactor is how far an estimate may exceed the time left before a request is refused at once; an estimate is
// off by up to the spread of the work.
const hopelessFactor = 1.5

func hopeless(expected, left time.Duration) bool {
	return float64(expected) > float64(left)*hopelessFactor
}

func (g *gateway) placeCold(now model.Instant, j *job, service fleet.Service, entries []registry.Entry) placement {
	for _, target := range eligible(j, entries, registry.Cold, true) {
		if g.cold.allow(now, target.Life(), service.ColdRate, g.settings.ColdBurst) {
			return placement{verdict: placeSend, target: target}
		}
	}
	return placement{verdict: placeRefused, reply: refuse(result.NoTarget, "no target may serve the route", loadedRetry)}
}

// eligible returns the targets of a state that the route allows. With fresh, targets that had an attempt are left out.
func eligible(j *job, entries []registry.Entry, state registry.State, fresh bool) []fleet.Target {
	var targets []fleet.Target
	for i := range entries {
		target := &entries[i].Target
		if entries[i].State != state || !j.route.AllowsRegion(target.Region) {
			continue
		}
		if fresh && j.wasTried(target.Life()) {
			continue
		}
		targets = append(targets, *target)
	}
	return targets
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
	if entry.State == registry.Cold {
		service := g.state.config.Load().Services[j.service]
		if !g.cold.allow(now, r.Owner.Life, service.ColdRate, g.settings.ColdBurst) {
			return g.placeOwnerless(now, j, "owner is cold")
		}
	}
	expected := g.picker.Expected(now, g.pickerRequest(j), &entry.Target)
	if hopeless(expected, j.left(now)) {
		refused := refuse(result.Overloaded, "owner has no room in time", loadedRetry)
		refused.expected = expected
		return placement{verdict: placeRefused, reply: refused}
	}
	return placement{verdict: placeSend, target: entry.Target, age: entry.Age, expected: expected}
}

// placeOwnerless lets a request wait for its key's next owner while that can come in time.
func (g *gateway) placeOwnerless(now model.Instant, j *job, reason string) placement {
	left := j.left(now)
	if left < g.picker.Work(j.route.Name) {
		return placement{verdict: placeRefused, reply: refuse(result.OwnerUnavailable, reason, moveRetry)}
	}
	return placement{verdict: placeWait, wait: min(waitStep, left)}
}

// attempt sends a request to a target. It returns false if the request is to be placed again.
func (g *gateway) attempt(ctx context.Context, j *job, place placement) (reply, bool) {
	now := g.clock.Now()
	if j.sends > 0 && !g.budget(j.service).Take(now, 0) {
		return refuse(result.Overloaded, "retry budget is spent", loadedRetry), true
	}
	j.sends++
	j.tried = append(j.tried, place.target.Life())
	ticket := g.picker.Begin(now, g.pickerRequest(j), &place.target)
	callCtx, cancel := g.attemptContext(ctx, j, now)
	answer, err := g.targets.Do(callCtx, place.target.Address, &platform.Call{
		Method: j.request.Method, URI: j.uri, Host: j.request.Host, Header: j.request.Header, Body: j.body,
		AttemptID: j.meta.AttemptID, Left: j.left(now), Target: place.target.ID,
	})
	cancel()
	end := g.clock.Now()
	outcome := classify(answer, err)
	g.picker.End(end, ticket, pickerResult(answer, outcome))
	g.learn(end, j, place, answer, err, end.Sub(now))
	return g.judge(ctx, end, j, place, answer, err, outcome)
}

// attemptContext ends at the request's deadline. When the caller leaves, only a request that may be repeated is cut
// off: another one is left to end, so that its target need not guess what became of it.
func (g *gateway) attemptContext(ctx context.Context, j *job, now model.Instant) (context.Context, context.CancelFunc) {
	if j.route.Kind != fleet.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, j.left(now))
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

// learn records what an attempt showed of its target.
func (g *gateway) learn(now model.Instant, j *job, place placement, answer *platform.Answer, err error, took time.Duration) {
	if j.meta.Key >= 0 && g.state.config.Load().Services[j.service].Keyed {
		g.load.add(now, j.service, j.meta.Key, min(took, maxKeyWork))
	}
	unreachable := err != nil && errorx.IsOfType(err, upstream.ErrNotSent)
	replaced := answer != nil && answer.OtherTarget != ""
	if unreachable || replaced {
		g.targets.Pool().Forget(place.target.Address)
		g.state.withRegistry(func(r *registry.Registry) { r.Failed(now, place.target.Life()) })
	}
}

// maxKeyWork bounds the work that one request adds to its key's load, so that a silent target is not taken for load.
const maxKeyWork = 2 * time.Second

// judge decides what follows an attempt.
func (g *gateway) judge(ctx context.Context, now model.Instant, j *job, place placement, answer *platform.Answer, err error, outcome attemptOutcome) (reply, bool) {
	base := reply{target: place.target.ID, expected: place.expected, age: place.age, err: err}
	if outcome == answered {
		base.answer = answer
		base.code = result.OK
		return base, true
	}
	if ctx.Err() != nil {
		base.code, base.reason = result.OutcomeUnknown, "caller left"
		return base, true
	}
	repeatable := outcome == notRun || j.route.Kind == fleet.Idempotent
	if repeatable && j.sends < g.maxSends(j, outcome) && j.left(now) > g.picker.Work(j.route.Name)/2 {
		g.metrics.retry(string(j.service))
		return base, false
	}
	return g.giveUp(now, j, base, answer, outcome), true
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
