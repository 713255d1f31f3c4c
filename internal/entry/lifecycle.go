package entry

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/control"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
)

// run starts everything, waits for ctx to end and stops gracefully.
func (e *entry) run(ctx context.Context) error {
	// The background work outlives ctx until the requests have ended.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	streams, err := newStreamRouter(work, e.plugins.log, e.loop, &outage{changed: e.onFirstRead}, e.loop.effects.log)
	if err != nil {
		return ErrStart.Wrap(err, "streams")
	}
	if err := e.plugins.set.Start(work); err != nil {
		return err
	}
	e.spawn(func() { e.loop.run(work) })
	e.spawn(func() {
		if err := streams.Run(work); err != nil && !errors.Is(err, context.Canceled) {
			e.log.Error("Reading the log ended.", logging.SystemError(err))
		}
	})
	e.spawn(func() { pollVMList(work, e.plugins.vmList, e.loop, &outage{changed: e.onVMList}, e.log) })
	e.spawn(func() { e.hotKeys.report(work, e.loop, e.hotKeyRate) })
	e.spawn(func() { e.forgetIdleTenants(work) })
	e.log.Info("Started.", logging.VM(e.settings.VM), logging.Zone(e.settings.Zone))
	<-ctx.Done()
	e.log.Info("Stopping.")
	err = e.stop(work)
	cancel()
	e.loop.effects.running.Wait()
	e.background.Wait()
	e.log.Info("Stopped.")
	return errors.Join(err, e.metrics.Close())
}

func (e *entry) spawn(work func()) {
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		work()
	}()
}

// stop ends the requests first, then hands the leases over, then ends the plug-ins. Other VMs keep forwarding requests to
// this one until its dispatcher refuses them as not run.
func (e *entry) stop(work context.Context) error {
	limited, cancel := context.WithTimeout(work, e.settings.DrainTime)
	defer cancel()
	e.plugins.front.Drain()
	frontErr := e.plugins.front.Stop(limited)
	dispatchErr := e.dispatcher.Stop(limited)
	e.loop.post(limited, control.Leave{})
	e.awaitLeft(work)
	linger(work)
	ending, cancelEnding := context.WithTimeout(work, stopTimeout)
	defer cancelEnding()
	e.warnOfInterruption(frontErr, dispatchErr)
	return e.plugins.set.Stop(ending)
}

// warnOfInterruption reports that the drain time ended first. Callers of requests that were still running were told that the
// outcome is unknown, or lost their connection.
func (e *entry) warnOfInterruption(errs ...error) {
	for _, err := range errs {
		if err != nil {
			e.log.Warn("The drain time ended before the requests did. Those still running were interrupted.", logging.ErrorType(err))
			return
		}
	}
}

// LeaveLinger is the time for which a VM that has left its cell still answers its peers. Those that have not folded its
// leaving yet learn that it refuses their requests as not run, and send them elsewhere instead of waiting for an answer.
// Others act for its targets within 1 s, and their statuses take a moment more.
const LeaveLinger = 1500 * time.Millisecond

func linger(ctx context.Context) {
	timer := time.NewTimer(LeaveLinger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitLeft waits for the record with which this VM leaves its cell.
func (e *entry) awaitLeft(work context.Context) {
	limited, cancel := context.WithTimeout(work, leaveTimeout)
	defer cancel()
	select {
	case <-e.loop.left:
	case <-limited.Done():
		e.log.Warn("The log did not take the record for leaving. Other members notice the silence.")
	}
}

func (e *entry) hotKeyRate() float64 {
	e.policies.mu.RLock()
	defer e.policies.mu.RUnlock()
	return e.policies.rules.HotKeyRate
}

// idleInterval is the time between two removals of idle tenants from the limits.
const idleInterval = time.Minute

func (e *entry) forgetIdleTenants(ctx context.Context) {
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.policies.limiter.EvictIdle(e.clock.Now())
		}
	}
}
