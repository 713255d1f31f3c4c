package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/testbed"
)

const (
	// serveTimeout bounds the time that untilServed waits for a successful request.
	serveTimeout = 20 * time.Second
	// requestDeadline is the deadline of each request, retryDelay the delay between two requests of untilServed.
	requestDeadline = time.Second
	retryDelay      = 20 * time.Millisecond
	// stopTimeout bounds the graceful stop of the entry VMs.
	stopTimeout = 20 * time.Second
	// shownRequests is the number of requests that sendRequests sends with a key, and also the number without one.
	shownRequests = 3
)

// show demonstrates one deployment step by step.
type show struct {
	deployment
	cluster *testbed.Cluster
	caller  *testbed.Caller
}

func (s *show) run(ctx context.Context) error {
	steps := []func(context.Context) error{
		s.publish, s.sendRequests, s.sendTwice, s.killOwner, s.stopEntries, s.compareRuns,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *show) publish(ctx context.Context) error {
	started := time.Now()
	published, err := s.cluster.PublishFirst(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("inventory published as version %d; all entry VMs ready after %s\n", published.Version(), rounded(time.Since(started)))
	return nil
}

// sendRequests sends requests with and without keys and prints which targets served them.
func (s *show) sendRequests(ctx context.Context) error {
	for i := range shownRequests {
		request := s.newRequest(fmt.Sprintf("key-%d", i+1))
		duration, last, err := s.untilServed(ctx, request, i)
		if err != nil {
			return err
		}
		fmt.Printf("key %-6s through %-20s served by %s under epoch %s (waited %s)\n", request.Key, last.VM, last.Target, last.Epoch, rounded(duration))
	}
	for i := range shownRequests {
		request := s.newRequest("")
		request.Service = s.unkeyed
		_, last, err := s.untilServed(ctx, request, i)
		if err != nil {
			return err
		}
		fmt.Printf("no key     through %-20s served by %s\n", last.VM, last.Target)
	}
	return nil
}

// sendTwice sends the same non-idempotent request through two entry VMs and checks that it ran exactly once.
func (s *show) sendTwice(ctx context.Context) error {
	// A lessor rejects non-idempotent requests whose IDs are older than its horizon, which is ahead of the current time
	// just after the first start. Wait until new IDs are accepted.
	first := s.newRequest("key-1")
	first.Idempotent = false
	if _, _, err := s.untilServed(ctx, first, 0); err != nil {
		return err
	}
	first.ID = model.NewRequestID().String()
	for _, e := range s.cluster.Entries()[:2] {
		exchange := s.caller.Do(ctx, e, first)
		fmt.Printf("non-idempotent request through %s: %s, by %s\n", exchange.VM, exchange.Outcome, exchange.Target)
	}
	runs, err := s.cluster.Runs()
	if err != nil {
		return err
	}
	count := 0
	for _, run := range runs {
		if run.RequestID == first.ID {
			count++
		}
	}
	fmt.Printf("  it ran %d time(s) according to the journals of the targets\n", count)
	if count != 1 {
		return errors.New("a non-idempotent request did not run exactly once")
	}
	return nil
}

// killOwner kills the owner of a key and prints the time until the key is served again.
func (s *show) killOwner(ctx context.Context) error {
	owner, err := s.cluster.Owner(ctx, s.cluster.Entries()[0], s.keyed, s.tenant, "key-1")
	if err != nil {
		return err
	}
	s.cluster.Targets[owner.Owner].Kill()
	duration, last, err := s.untilServed(ctx, s.newRequest("key-1"), 0)
	if err != nil {
		return err
	}
	fmt.Printf("killed %s, the owner of key-1: served again after %s by %s under epoch %s\n", owner.Owner, rounded(duration), last.Target, last.Epoch)
	return nil
}

func (s *show) stopEntries(context.Context) error {
	started := time.Now()
	if err := s.cluster.StopEntries(stopTimeout); err != nil {
		return err
	}
	for _, e := range s.cluster.Entries() {
		if e.ExitCode() != 0 {
			return fmt.Errorf("%s ended with exit code %d: %s", e.VM, e.ExitCode(), e.Output())
		}
	}
	fmt.Printf("all entry VMs stopped gracefully in %s\n", rounded(time.Since(started)))
	return nil
}

// compareRuns checks the responses that the callers received against the requests that the targets ran, and that no
// process is left running.
func (s *show) compareRuns(context.Context) error {
	runs, err := s.cluster.Runs()
	if err != nil {
		return err
	}
	exchanges := s.caller.Exchanges()
	for _, fault := range testbed.Compare(exchanges, runs) {
		err = errors.Join(err, errors.New(fault))
	}
	fmt.Printf("%d requests and %d runs compared\n", len(exchanges), len(runs))
	s.cluster.Close()
	if left := s.cluster.Running(); len(left) > 0 {
		err = errors.Join(err, fmt.Errorf("processes are still running: %v", left))
	}
	return err
}

func (s *show) newRequest(key string) testbed.Request {
	return testbed.Request{Tenant: s.tenant, Service: s.keyed, Key: key, Path: "demo", Idempotent: true, Body: "hello", Deadline: requestDeadline}
}

// untilServed sends a request repeatedly, with a new ID each time and through the entry VMs in turn, until it ran. It
// returns the time that this took and the last exchange.
func (s *show) untilServed(ctx context.Context, request testbed.Request, first int) (time.Duration, testbed.Exchange, error) {
	entries := s.cluster.Entries()
	started := time.Now()
	var last testbed.Exchange
	for i := first; time.Since(started) < serveTimeout && ctx.Err() == nil; i++ {
		request.ID = ""
		if last = s.caller.Do(ctx, entries[i%len(entries)], request); last.Ran() {
			return time.Since(started), last, nil
		}
		time.Sleep(retryDelay)
	}
	return 0, last, fmt.Errorf("request was not served within the time limit: %v", last)
}
