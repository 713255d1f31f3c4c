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
	// serveLimit bounds a wait for a key to be served.
	serveLimit = 20 * time.Second
	// attemptTime bounds one request of such a wait; attemptPause is the time between two.
	attemptTime  = time.Second
	attemptPause = 20 * time.Millisecond
	// stopLimit bounds the graceful stop.
	stopLimit = 20 * time.Second
	shownKeys = 3
)

// show is the sequence of steps for one deployment.
type show struct {
	deployment
	cluster *testbed.Cluster
	caller  *testbed.Caller
}

func (s *show) run(ctx context.Context) error {
	steps := []func(context.Context) error{s.publish, s.serve, s.sendTwice, s.killOwner, s.stop, s.compare}
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

// serve sends requests with and without keys and prints who served them.
func (s *show) serve(ctx context.Context) error {
	for i := range shownKeys {
		request := s.request(fmt.Sprintf("key-%d", i+1))
		took, last, err := s.untilServed(ctx, request, i)
		if err != nil {
			return err
		}
		fmt.Printf("key %-6s through %-20s served by %s under epoch %s (waited %s)\n", request.Key, last.VM, last.Target, last.Epoch, rounded(took))
	}
	for i := range shownKeys {
		request := s.request("")
		request.Service = s.unkeyed
		_, last, err := s.untilServed(ctx, request, i)
		if err != nil {
			return err
		}
		fmt.Printf("no key     through %-20s served by %s\n", last.VM, last.Target)
	}
	return nil
}

// sendTwice sends one non-idempotent request through two entry VMs and counts its runs.
func (s *show) sendTwice(ctx context.Context) error {
	// Just after the first start, a lessor takes no non-idempotent request whose ID is older than its horizon.
	first := s.request("key-1")
	first.Idempotent = false
	if _, _, err := s.untilServed(ctx, first, 0); err != nil {
		return err
	}
	first.ID = model.NewRequestID().String()
	for _, e := range s.cluster.Entries()[:2] {
		answer := s.caller.Do(ctx, e, first)
		fmt.Printf("non-idempotent request through %s: %s, by %s\n", answer.VM, answer.Outcome, answer.Target)
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
	fmt.Printf("  it ran %d time(s), says the record of the targets\n", count)
	if count != 1 {
		return errors.New("a non-idempotent request did not run once")
	}
	return nil
}

// killOwner kills the owner of a key and measures the time until the key is served again.
func (s *show) killOwner(ctx context.Context) error {
	owner, err := s.cluster.Owner(ctx, s.cluster.Entries()[0], s.keyed, s.tenant, "key-1")
	if err != nil {
		return err
	}
	s.cluster.Targets[owner.Owner].Kill()
	took, last, err := s.untilServed(ctx, s.request("key-1"), 0)
	if err != nil {
		return err
	}
	fmt.Printf("killed %s, the owner of key-1: served again after %s by %s under epoch %s\n", owner.Owner, rounded(took), last.Target, last.Epoch)
	return nil
}

func (s *show) stop(context.Context) error {
	started := time.Now()
	if err := s.cluster.StopEntries(stopLimit); err != nil {
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

// compare checks what callers were told against what targets ran.
func (s *show) compare(context.Context) error {
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
		err = errors.Join(err, fmt.Errorf("processes left behind: %v", left))
	}
	return err
}

func (s *show) request(key string) testbed.Request {
	return testbed.Request{Tenant: s.tenant, Service: s.keyed, Key: key, Path: "demo", Idempotent: true, Body: "hello", Deadline: attemptTime}
}

// untilServed sends a request under fresh IDs through the entry VMs in turn until it ran.
func (s *show) untilServed(ctx context.Context, request testbed.Request, first int) (time.Duration, testbed.Exchange, error) {
	entries := s.cluster.Entries()
	started := time.Now()
	var last testbed.Exchange
	for i := first; time.Since(started) < serveLimit && ctx.Err() == nil; i++ {
		request.ID = ""
		if last = s.caller.Do(ctx, entries[i%len(entries)], request); last.Ran() {
			return time.Since(started), last, nil
		}
		time.Sleep(attemptPause)
	}
	return 0, last, fmt.Errorf("not served: %v", last)
}
