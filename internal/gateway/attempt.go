package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/overload"
	"github.com/tarragonpoint/tarragonpoint/internal/picker"
	"github.com/tarragonpoint/tarragonpoint/internal/registry"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/shares"
	"github.com/tarragonpoint/tarragonpoint/internal/upstream"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	placement placement
	response  *platform.Response
	err       error
	outcome   attemptOutcome
	// targetUnavailable is true if the request was not sent because its target may not get requests any more.
	targetUnavailable bool
	// liveness is what is known of the target's process after it closed the connection without a response.
	liveness targetLiveness
}

// attempt sends a request to a target. It returns false if a target has to be chosen again. When the response to an
// idempotent request is overdue, it hedges with a second attempt in parallel; the first valid response wins.
func (g *gateway) attempt(ctx context.Context, j *job, chosen placement) (callerResponse, bool) {
	now := g.clock.Now()
	budgetedAt := model.Instant(0)
	if j.sends > 0 {
		if rejected, ok := g.takeRetry(now, j, g.retryBurst(now)); !ok {
			return rejected, true
		}
		budgetedAt = now
	}
	callCtx, cancel := g.attemptContext(ctx, j, now)
	defer cancel()
	results := make(chan attemptResult, maxParallelAttempts)
	g.launch(callCtx, j, chosen, budgetedAt, results)
	inFlight := 1
	hedge := time.NewTimer(g.hedgeDelay(now, j, chosen))
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if g.hedge(callCtx, j, results) {
				inFlight++
			}
		case finished := <-results:
			inFlight--
			j.finished(&finished)
			g.recordBroken(j, &finished)
			if finished.outcome != attemptResponded && inFlight > 0 {
				finished.response.Release()
				continue
			}
			releaseLate(results, inFlight)
			response, final := g.concludeAttempt(ctx, g.clock.Now(), j, finished)
			if response.targetResponse == nil || !final {
				finished.response.Release()
			}
			return response, final
		}
	}
}

// unheldShare is the share of the retry budget that requests may use whose owner did not hold their key. The rest is left to
// other retries.
const unheldShare = 0.3

// takeRetry takes a repeated attempt from the retry budget, and returns the response to the caller if it does not allow one.
func (g *gateway) takeRetry(now model.Instant, j *job, burst float64) (callerResponse, bool) {
	if j.unheld {
		if !g.budget(j.service).TakePart(now, unheldShare, burst) {
			return reject(result.OwnerUnavailable, waitUnheld, g.holds.usualGrant()), false
		}
		return callerResponse{}, true
	}
	if !g.budget(j.service).Take(now, burst) {
		return reject(result.Overloaded, "retry budget exhausted", overloadRetryAfter), false
	}
	return callerResponse{}, true
}

// finished records an attempt that has ended.
func (j *job) finished(attempt *attemptResult) {
	j.mayHaveRun = j.mayHaveRun || attempt.outcome == attemptUnknown || attempt.outcome == attemptFailed
	if attempt.response != nil && attempt.response.ConnectionID != 0 {
		j.connections = append(j.connections, attempt.response.ConnectionID)
	}
	if attempt.targetUnavailable {
		j.sends--
	}
}

// releaseLate releases the responses to attempts that have lost against another one.
func releaseLate(results <-chan attemptResult, inFlight int) {
	if inFlight == 0 {
		return
	}
	go func() {
		for range inFlight {
			finished := <-results
			finished.response.Release()
		}
	}()
}

const (
	// maxParallelAttempts is the maximum number of attempts of one request in flight.
	maxParallelAttempts = 2
	// hedgeFactor is the multiple of the expected response time after which a second attempt is made.
	hedgeFactor = 2.5
	// minHedgeDelay keeps short requests from being hedged after a brief delay.
	minHedgeDelay = 250 * time.Millisecond
	// hedgeShare is the share of the retry budget that hedges may use. The rest is left for retries of rejected requests.
	hedgeShare = 0.7
	// never is a delay that exceeds every deadline.
	never = time.Hour
)

// hedgeDelay returns the delay after which a second attempt is made in parallel with the first.
func (g *gateway) hedgeDelay(now model.Instant, j *job, chosen placement) time.Duration {
	if j.route.Kind != fleet.Idempotent || j.alone || j.sends >= max(maxParallelAttempts, j.route.MaxAttempts) {
		return never
	}
	delay := time.Duration(hedgeFactor * float64(chosen.estimate.Total))
	if latest, known := g.latestUsefulHedge(now, j); known && !chosen.isOwner {
		delay = min(delay, latest)
	}
	return max(minHedgeDelay, delay)
}

// latestUsefulHedge returns the delay until the latest time at which a second attempt at an idle target is expected to
// respond within the route's latency target. It returns false if there is no such time.
func (g *gateway) latestUsefulHedge(now model.Instant, j *job) (time.Duration, bool) {
	if j.route.LatencyTarget <= 0 {
		return 0, false
	}
	latest := j.route.LatencyTarget - g.elapsed(now, j) - overload.CallerRoundTrip - g.picker.Work(now, j.route.Name)
	return latest, latest > 0
}

// hedge makes a second attempt and returns true if the time left, the targets and the retry budget allow it.
func (g *gateway) hedge(ctx context.Context, j *job, results chan<- attemptResult) bool {
	now := g.clock.Now()
	if j.route.MaxAttempts < maxParallelAttempts || j.timeLeft(now) < g.picker.Work(now, j.route.Name) {
		return false
	}
	if _, ok := g.resolve(j); !ok {
		return false
	}
	if _, ok := g.blocked(now, j); ok {
		return false
	}
	chosen := g.chooseTarget(j)
	// A second attempt that would wait behind other requests only adds to the load that delays the first one.
	if chosen.action != actionSend || !chosen.estimate.HasFreeSlot(chosen.target.Slots) {
		return false
	}
	if !g.budget(j.service).TakePart(now, hedgeShare, g.retryBurst(now)) {
		return false
	}
	g.metrics.hedge(string(j.service))
	g.launch(ctx, j, chosen, now, results)
	return true
}

// launch starts one attempt. budgetedAt is when it was taken from the retry budget; 0 if it was not.
func (g *gateway) launch(
	ctx context.Context, j *job, chosen placement, budgetedAt model.Instant, results chan<- attemptResult,
) {
	now := g.clock.Now()
	j.sends++
	j.tried = append(j.tried, chosen.target.Incarnation())
	picked := g.pickerRequest(j)
	picked.IsTrial = chosen.estimate.IsTrial
	ticket := g.picker.Begin(now, picked, &chosen.target)
	call := &platform.Call{
		Method: j.request.Method, URI: j.uri, Host: j.request.Host, Header: j.request.Header, Body: j.body,
		AttemptID: j.callerHeaders.AttemptID, TimeLeft: j.timeLeft(now), Target: chosen.target.ID,
		Wanted: j.request.Context(), Avoid: slices.Clone(j.connections),
	}
	admitted := j.access()
	call.HasTenants, call.Tenant = admitted.required, admitted.name()
	j.caller.connecting()
	route, service, key, caller, watch := j.route, j.service, j.callerHeaders.Key, j.request.Context(), j.caller
	ended := g.metrics.attempt()
	go func() {
		defer ended()
		response, refusal, err := g.send(ctx, call, service, &chosen, admitted, watch, now)
		unavailable := refusal != sendAccepted
		if unavailable {
			g.metrics.refusedSend(refusal.String())
		}
		end := g.clock.Now()
		if unavailable && budgetedAt != 0 {
			g.budget(service).Return(budgetedAt)
		}
		outcome := classify(response, err)
		g.picker.End(end, ticket, pickerResult(response, outcome, isCanceled(caller, route, err)))
		g.countBytes(route.Name, &chosen.target, len(call.Body), response)
		g.recordAttempt(end, route.Name, service, key, chosen, response, err, end.Sub(now))
		results <- attemptResult{
			placement: chosen, response: response, err: err, outcome: outcome, targetUnavailable: unavailable,
			liveness: g.checkLiveness(chosen.target.Address, err),
		}
	}()
}

// send sends a call to the target that was chosen for it at placedAt. It returns why the call was not sent if its target may not
// get it any more.
func (g *gateway) send(
	ctx context.Context, call *platform.Call, service model.Service, chosen *placement, admitted access, watch *callerWatch,
	placedAt model.Instant,
) (response *platform.Response, refusal sendRefusal, err error) {
	unverified, timeLeft := model.Instant(0), call.TimeLeft
	call.BeforeSend = func(openedAt model.Instant) error {
		if refusal = refusedAccess; admitted.permits(g.state.config.Load(), chosen.target.Region) {
			refusal = g.checkSend(service, chosen, openedAt)
		}
		if refusal != sendAccepted {
			unverified = openedAt
			return errTargetUnavailable
		}
		if err := watch.beforeSend(); err != nil {
			return err
		}
		g.logColdSend(call.AttemptID, chosen.target.Incarnation(), placedAt)
		return nil
	}
	call.OnPause = func(pause time.Duration) { g.recordPause(chosen.target.Incarnation(), pause) }
	response, err = g.targets.Do(ctx, chosen.target.Address, call)
	for range maxVerifications {
		path := g.state.config.Load().Services[service].HealthPath
		if refusal != refusedUnverified || !g.verify(ctx, path, &chosen.target, unverified) {
			break
		}
		refusal = sendAccepted
		call.TimeLeft = timeLeft - g.clock.Now().Sub(placedAt)
		response, err = g.targets.Do(ctx, chosen.target.Address, call)
	}
	return response, refusal, err
}

// errTargetUnavailable reports that a target may not get a request any more, found immediately before it was sent.
var errTargetUnavailable = errors.New("target may not get the request any more")

// sendRefusal is why a request is not sent to the target that was chosen for it.
type sendRefusal uint8

const (
	// sendAccepted means that the request may be sent.
	sendAccepted sendRefusal = iota
	// refusedGone means that the target is not registered any more, or that another incarnation has its ID.
	refusedGone
	// refusedUnavailable means that the target is leaving, unreachable, or in a zone that was just restored to service.
	refusedUnavailable
	// refusedPaused means that the target wants no requests for some time.
	refusedPaused
	// refusedCold means that the target is cold and that its limit leaves no request for this VM now.
	refusedCold
	// refusedUnverified means that the target may have restarted before the connection was opened, and that this VM has no
	// registrations since.
	refusedUnverified
	// refusedAccess means that a newer configuration does not contain the request's API key, assigns it to another tenant, or
	// does not allow the target's region.
	refusedAccess
)

func (r sendRefusal) String() string {
	return [...]string{"accepted", "gone", "unavailable", "paused", "cold", "unverified", "access"}[r]
}

// checkSend decides whether a request of a service may still be sent to the target that was chosen for it. It is called
// immediately before the first byte over a connection that was open at openedAt, because the request may have waited for a connection since.
func (g *gateway) checkSend(service model.Service, chosen *placement, openedAt model.Instant) sendRefusal {
	now := g.clock.Now()
	incarnation := chosen.target.Incarnation()
	config := g.state.config.Load().Services[service]
	entry, found := g.state.lookup(now, incarnation.ID)
	if !found || entry.Target.Incarnation() != incarnation {
		return refusedGone
	}
	switch entry.State {
	case registry.Unavailable:
		return refusedUnavailable
	case registry.Paused:
		return refusedPaused
	case registry.Cold:
		if !chosen.coldAllowed && !g.allowCold(now, config, incarnation, true) {
			return refusedCold
		}
		if !g.cold.send(now, incarnation, g.coldSends(now, config, incarnation)) {
			return refusedCold
		}
	case registry.Serving:
		if config.HealthPath != "" && !g.verified.includes(now, incarnation, openedAt) {
			return refusedUnverified
		}
	}
	return sendAccepted
}

// logColdSend logs a request that is about to be sent to a cold target, and what this VM's share of the target's limit rests on.
func (g *gateway) logColdSend(requestID string, incarnation fleet.Incarnation, placedAt model.Instant) {
	now := g.clock.Now()
	entry, found := g.state.lookup(now, incarnation.ID)
	if !found || entry.State != registry.Cold || entry.Target.Incarnation() != incarnation {
		return
	}
	fields := []logging.Field{
		logging.RequestID(requestID), logging.TargetID(incarnation.ID), logging.Waited(now.Sub(placedAt)),
		logging.ColdStart(entry.ColdFor, entry.Target.ColdUntil.Sub(now)), logging.DataAge(entry.Age),
		logging.SourceAge(g.follower(platform.TopicTargets).age(now)), logging.Name(g.leaderName()),
	}
	group := shares.GroupOf(incarnation.ID)
	fields = append(fields, logging.Units(g.shares.InGroup(now, group, shares.UnitsPerGroup), shares.UnitsPerGroup),
		logging.LeaseLeft(g.shares.LeftInGroup(now, group)))
	g.log.Part(logging.Request).Decision("sent to a cold target", fields...)
}

// attemptContext returns a context that ends at the request's deadline. When the caller disconnects, only an idempotent
// request is canceled. Any other request that has been sent is left to complete, because a cancellation would leave its
// outcome unknown to the target.
func (g *gateway) attemptContext(ctx context.Context, j *job, now model.Instant) (context.Context, context.CancelFunc) {
	if j.route.Kind != fleet.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, j.timeLeft(now))
	stop := context.AfterFunc(g.requestsContext, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// attemptOutcome classifies the result of an attempt.
type attemptOutcome uint8

const (
	// attemptResponded means a complete response of the target that ran the request.
	attemptResponded attemptOutcome = iota
	// attemptFailed means a complete response that reports a failure of the target.
	attemptFailed
	// attemptNotRun means that the request did not run and never will.
	attemptNotRun
	// attemptUnknown means that the request may have run.
	attemptUnknown
)

func classify(response *platform.Response, err error) attemptOutcome {
	switch {
	case err != nil && errorx.IsOfType(err, upstream.ErrNotSent):
		return attemptNotRun
	case err != nil:
		return attemptUnknown
	case response.NotRun:
		return attemptNotRun
	case response.Status < http.StatusMultipleChoices && !response.Sealed:
		return attemptUnknown
	case response.Status >= http.StatusInternalServerError:
		return attemptFailed
	}
	return attemptResponded
}

// isCanceled reports whether an attempt ended with err because its caller left, or because its request was answered before
// it was sent. caller ends when the caller leaves.
func isCanceled(caller context.Context, route *fleet.Route, err error) bool {
	if err == nil {
		return false
	}
	if errorx.IsOfType(err, upstream.ErrAbandoned) {
		return true
	}
	// An attempt of a non-idempotent request that has been sent does not end with its caller.
	return route.Kind == fleet.Idempotent && errorx.IsOfType(err, upstream.ErrTimeout) && caller.Err() != nil
}

// pickerResult returns what an attempt tells about its target.
func pickerResult(response *platform.Response, outcome attemptOutcome, canceled bool) picker.Result {
	// A target that asked for a pause gets no requests until it accepts them again, so the rejection predicts no others.
	isPause := response != nil && response.Pause > 0
	r := picker.Result{
		Responded: outcome == attemptResponded, Failed: outcome != attemptResponded && !canceled && !isPause, Canceled: canceled,
	}
	if response != nil && response.Load != nil {
		r.Report = &picker.Report{
			Running: response.Load.Running, Waiting: response.Load.Waiting, Slots: response.Load.Slots,
			Slowness: response.Load.Slowness,
		}
	}
	return r
}

// countBytes counts the bytes of a request and its response by the network distance of the target.
func (g *gateway) countBytes(route string, target *fleet.Target, sent int, response *platform.Response) {
	size := sent
	if response != nil {
		size += len(response.Body)
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

// recordAttempt updates the load of the key, the connection pool and the registry after an attempt.
func (g *gateway) recordAttempt(
	now model.Instant, route string, service model.Service, key int, chosen placement, response *platform.Response,
	err error, took time.Duration,
) {
	if key >= 0 && g.state.config.Load().Services[service].Keyed {
		g.recordKeyLoad(now, route, service, key, chosen.target.Incarnation(), response, took)
	}
	if err != nil && errorx.IsOfType(err, upstream.ErrTimeout) && took > connectionSuspectAfter {
		// The connections to the target may be broken without an error, which only a timeout reveals.
		g.targets.Pool().CloseIdle(chosen.target.Address)
	}
	if response != nil {
		g.recordTargetState(chosen.target.Incarnation(), response)
	}
	unreachable := err != nil && errorx.IsOfType(err, upstream.ErrNotSent) && !errorx.IsOfType(err, upstream.ErrAbandoned)
	replaced := response != nil && response.ActualTarget != ""
	if unreachable || replaced {
		g.targets.Pool().CloseIdle(chosen.target.Address)
		g.state.withRegistry(func(r *registry.Registry) { r.RecordFailure(now, chosen.target.Incarnation()) })
	}
}

// recordKeyLoad updates the load of a key after an attempt at its owner.
func (g *gateway) recordKeyLoad(
	now model.Instant, route string, service model.Service, key int, owner fleet.Incarnation, response *platform.Response,
	took time.Duration,
) {
	if response != nil && response.NotRun && !response.KeyNotHeld {
		g.countRejectedWork(now, route, service, key)
		return
	}
	g.work.add(service, key, min(took, maxKeyWork))
	g.throttle.Accepted(now, owner)
	if response == nil {
		return
	}
	switch {
	case response.KeyNotHeld:
		g.recordUnheld(now, now.Add(-took), service, key, owner)
	case response.Sealed:
		g.holds.served(now, now.Add(-took), owner)
	}
}

// recordUnheld records that the owner of a key does not hold it, in the response to a request that was sent at an instant. A
// response about a former owner says nothing of the current one.
func (g *gateway) recordUnheld(now, sentAt model.Instant, service model.Service, key int, owner fleet.Incarnation) {
	table := g.state.table.Load()
	if r := table.Find(service, key); r != nil && r.Owner.Incarnation == owner {
		g.metrics.ownerWait("not_held", waitUnheld)
		g.holds.unheld(now, sentAt, table, owner)
	}
}

// recordTargetState records what a response says about the availability of its target.
func (g *gateway) recordTargetState(incarnation fleet.Incarnation, response *platform.Response) {
	if response.Leaving {
		g.markLeaving(incarnation, "response to a request")
	}
	if response.Pause > 0 {
		g.recordPause(incarnation, response.Pause)
	}
}

// recordPause records that a target wants no requests for some time from now.
func (g *gateway) recordPause(incarnation fleet.Incarnation, pause time.Duration) {
	now := g.clock.Now()
	g.metrics.pause()
	g.state.withRegistry(func(r *registry.Registry) { r.Pause(now, incarnation, now.Add(pause)) })
}

// connectionSuspectAfter is how long a request that timed out must have waited before the connections to its target are
// assumed to be broken.
const connectionSuspectAfter = time.Second

// maxKeyWork bounds the work that one request adds to its key's load, so that waiting for an unresponsive target does
// not count as load.
const maxKeyWork = 2 * time.Second

// concludeAttempt returns the response after an attempt, or false if the request is to be sent again.
func (g *gateway) concludeAttempt(
	ctx context.Context, now model.Instant, j *job, attempt attemptResult,
) (callerResponse, bool) {
	base := callerResponse{
		target: attempt.placement.target.ID, estimate: &attempt.placement.estimate, age: attempt.placement.age,
		err: attempt.err,
	}
	if attempt.outcome == attemptResponded {
		g.recordRun(now, j)
		base.targetResponse = attempt.response
		base.code = result.OK
		return base, true
	}
	if _, left := j.caller.departure(); left || ctx.Err() != nil {
		base.code, base.reason = result.OutcomeUnknown, "caller disconnected"
		if attempt.outcome == attemptNotRun {
			base.code = result.DeadlinePassed
		}
		return base, true
	}
	if g.requestsContext.Err() != nil {
		base.code, base.reason = result.OutcomeUnknown, "process stopped before the response"
		return base, true
	}
	repeatable := attempt.outcome == attemptNotRun || j.route.Kind == fleet.Idempotent
	if j.unheld = attempt.response != nil && attempt.response.KeyNotHeld; j.unheld {
		// The owner is about to receive the grant of its keys; an immediate retry would only use up the retry budget.
		g.await(ctx, g.state.change(), ownerGrantWait)
	}
	if repeatable && j.sends < g.maxSends(j, attempt.outcome) && j.timeLeft(now) > g.picker.Work(now, j.route.Name)/2 {
		if !attempt.targetUnavailable {
			g.metrics.retry(string(j.service))
		}
		return base, false
	}
	return g.finalResponse(now, j, base, attempt.response, attempt.outcome), true
}

// maxRejectedSends bounds the sends of a request that targets reject without running it.
const maxRejectedSends = 3

func (g *gateway) maxSends(j *job, outcome attemptOutcome) int {
	if outcome == attemptNotRun {
		return max(maxRejectedSends, j.route.MaxAttempts)
	}
	return j.route.MaxAttempts
}

// finalResponse returns the response to a request that failed and is not sent again.
func (g *gateway) finalResponse(
	now model.Instant, j *job, base callerResponse, targetResponse *platform.Response, outcome attemptOutcome,
) callerResponse {
	switch outcome {
	case attemptFailed:
		base.targetResponse = targetResponse
		base.code, base.reason = result.TargetFailed, "target failed the request"
	case attemptNotRun:
		base.code, base.reason, base.retryAfter = result.Overloaded, "targets rejected the request", overloadRetryAfter
		if j.unheld {
			base.code, base.reason, base.retryAfter = result.OwnerUnavailable, waitUnheld, g.holds.usualGrant()
		}
	default:
		base.code, base.reason = result.OutcomeUnknown, "no complete response"
		if j.timeLeft(now) <= 0 {
			base.code, base.reason = result.DeadlineMissed, "deadline passed before the response"
		}
	}
	return base
}
