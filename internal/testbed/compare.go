package testbed

import (
	"fmt"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// Run is one run of a request in the record of a target.
type Run struct {
	standin.Run
	Target model.TargetID
	Zone   model.Zone
	// StartedAt is the time of the machine's clock.
	StartedAt time.Time
}

// Compare returns every contradiction between what callers were told and what targets ran.
func Compare(exchanges []Exchange, runs []Run) []string {
	ranBy := map[string][]Run{}
	for _, run := range runs {
		ranBy[run.RequestID] = append(ranBy[run.RequestID], run)
	}
	sent := map[string][]Exchange{}
	for _, exchange := range exchanges {
		sent[exchange.ID] = append(sent[exchange.ID], exchange)
	}
	var faults []string
	for id, attempts := range sent {
		if !attempts[0].Idempotent && len(ranBy[id]) > 1 {
			faults = append(faults, fmt.Sprintf("ran %d times: %v; runs %v", len(ranBy[id]), attempts, ranBy[id]))
		}
		for _, attempt := range attempts {
			faults = append(faults, faultsOf(attempt, attempts, ranBy[id])...)
		}
	}
	return faults
}

// faultsOf checks one answer against the runs of its request.
func faultsOf(exchange Exchange, attempts []Exchange, runs []Run) []string {
	if exchange.TransportErr != nil {
		return nil
	}
	var faults []string
	if exchange.ResponseErr != nil {
		faults = append(faults, fmt.Sprintf("wrong answer (%v): %v", exchange.ResponseErr, exchange))
	}
	switch exchange.Outcome {
	case result.Ran.String():
		if !isRun(exchange, runs) {
			faults = append(faults, fmt.Sprintf("answered as run without a run: %v; runs %v", exchange, runs))
		}
	case result.NotRun.String():
		for _, run := range runs {
			if !isLater(run, exchange, attempts) {
				faults = append(faults, fmt.Sprintf("answered as not run although it ran: %v; run %v", exchange, run))
			}
		}
	case result.Unknown.String():
	default:
		faults = append(faults, fmt.Sprintf("answer without an outcome: %v", exchange))
	}
	return faults
}

// isRun reports whether the target that the answer names ran the request to its end before the answer came.
func isRun(exchange Exchange, runs []Run) bool {
	for _, run := range runs {
		if run.Target == exchange.Target && run.Outcome == standin.RunDone && !run.StartedAt.After(exchange.RespondedAt) {
			return true
		}
	}
	return false
}

// isLater reports whether a run belongs to another attempt of the same request, which was sent after the one that was
// answered as not run and ran after that answer.
func isLater(run Run, notRun Exchange, attempts []Exchange) bool {
	if run.StartedAt.Before(notRun.RespondedAt) {
		return false
	}
	for _, other := range attempts {
		if other.SentAt.After(notRun.SentAt) {
			return true
		}
	}
	return false
}
