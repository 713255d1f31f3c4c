package entry

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/control"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
)

// run starts the plug-ins and the background work, waits for ctx to end and stops gracefully. It returns ErrStart if
// the readers of the log cannot be created, or the error of a plug-in.
func (e *entry) run(ctx context.Context) error {
	// The background work continues after ctx has ended, until the requests have ended.
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	streams, err := newStreamRouter(workCtx, e.plugins.log, e.loop, &availability{onChange: e.onFirstLogRead},
		e.loop.effects.log)
	if err != nil {
		return ErrStart.Wrap(err, "streams")
	}
	if err := e.plugins.set.Start(workCtx); err != nil {
		return err
	}
	e.spawn(func() { e.loop.run(workCtx) })
	e.spawn(func() {
		if err := streams.Run(workCtx); err != nil && !errors.Is(err, context.Canceled) {
			e.log.Error("Reading the log failed and is not retried. Restart the VM.", logging.SystemError(err))
		}
	})
	e.spawn(func() {
		pollVMList(workCtx, e.plugins.vmList, e.loop, &availability{onChange: e.onVMListAvailability}, e.log)
	})
	e.spawn(func() { e.hotKeys.report(workCtx, e.loop, e.hotKeyRate) })
	e.spawn(func() { e.evictIdleTenants(workCtx) })
	e.log.Info("Started.", logging.VM(e.settings.VM), logging.Zone(e.settings.Zone))
	<-ctx.Done()
	e.log.Info("Stopping.")
	err = e.stop(workCtx)
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

// stop waits for the requests to end, then hands the leases over, then stops the plug-ins. Other VMs keep forwarding
// requests to this one until its dispatcher rejects them as not run.
func (e *entry) stop(workCtx context.Context) error {
	drainCtx, cancel := context.WithTimeout(workCtx, e.settings.DrainTime)
	defer cancel()
	e.plugins.front.Drain()
	frontErr := e.plugins.front.Stop(drainCtx)
	dispatchErr := e.dispatcher.Stop(drainCtx)
	e.loop.post(drainCtx, control.Leave{})
	e.waitForLeaveRecord(workCtx)
	linger(workCtx)
	stopCtx, cancelStop := context.WithTimeout(workCtx, stopTimeout)
	defer cancelStop()
	e.logInterruptedRequests(frontErr, dispatchErr)
	return e.plugins.set.Stop(stopCtx)
}

// logInterruptedRequests logs a warning if the drain time ended before the requests did. The callers of the interrupted
// requests received the outcome "unknown", or their connections were closed.
func (e *entry) logInterruptedRequests(errs ...error) {
	for _, err := range errs {
		if err != nil {
			e.log.Warn("The drain time ended before all requests did. The remaining requests were interrupted.",
				logging.ErrorType(err))
			return
		}
	}
}

// LeaveLinger is the time for which a VM that has left its cell still replies to its peers. Peers that have not yet
// folded the record of its leaving get their requests rejected as not run, and send them to another VM instead of
// waiting for a reply. Other VMs act as lessors of its targets within 1 s, and their statuses arrive slightly later.
const LeaveLinger = 1500 * time.Millisecond

func linger(ctx context.Context) {
	timer := time.NewTimer(LeaveLinger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// waitForLeaveRecord waits until the record with which this VM leaves its cell has taken effect, for at most
// leaveTimeout.
func (e *entry) waitForLeaveRecord(workCtx context.Context) {
	timeoutCtx, cancel := context.WithTimeout(workCtx, leaveTimeout)
	defer cancel()
	select {
	case <-e.loop.left:
	case <-timeoutCtx.Done():
		e.log.Warn("The record for leaving the cell was not confirmed in time. Other members will detect missing heartbeats.")
	}
}

func (e *entry) hotKeyRate() float64 {
	e.policies.mu.RLock()
	defer e.policies.mu.RUnlock()
	return e.policies.rules.HotKeyRate
}

// idleInterval is the time between two removals of the state of idle tenants from the limiter.
const idleInterval = time.Minute

func (e *entry) evictIdleTenants(ctx context.Context) {
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
