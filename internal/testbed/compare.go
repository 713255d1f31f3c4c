package testbed

import (
	"fmt"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// Run is one run of a request according to the journal of a target.
type Run struct {
	standin.Run
	Target model.TargetID
	Zone   model.Zone
	// StartedAt is a time of the machine's clock, the same clock as for SentAt and RespondedAt.
	StartedAt time.Time
}

// Compare returns a description of every mismatch between the responses to callers and the runs on targets.
func Compare(exchanges []Exchange, runs []Run) []string {
	runsByRequest := map[string][]Run{}
	for _, run := range runs {
		runsByRequest[run.RequestID] = append(runsByRequest[run.RequestID], run)
	}
	exchangesByRequest := map[string][]Exchange{}
	for _, exchange := range exchanges {
		exchangesByRequest[exchange.ID] = append(exchangesByRequest[exchange.ID], exchange)
	}
	var mismatches []string
	for id, attempts := range exchangesByRequest {
		if !attempts[0].Idempotent && len(runsByRequest[id]) > 1 {
			mismatches = append(mismatches, fmt.Sprintf("non-idempotent request ran %d times: %v; runs %v",
				len(runsByRequest[id]), attempts, runsByRequest[id]))
		}
		for _, attempt := range attempts {
			mismatches = append(mismatches, checkExchange(attempt, attempts, runsByRequest[id])...)
		}
	}
	return mismatches
}

// checkExchange returns the mismatches between one response and the runs of its request.
func checkExchange(exchange Exchange, attempts []Exchange, runs []Run) []string {
	if exchange.TransportErr != nil {
		return nil
	}
	var mismatches []string
	if exchange.ResponseErr != nil {
		mismatches = append(mismatches, fmt.Sprintf("invalid response (%v): %v", exchange.ResponseErr, exchange))
	}
	switch exchange.Outcome {
	case result.Ran.String():
		if !hasRun(exchange, runs) {
			mismatches = append(mismatches, fmt.Sprintf(
				"response reports a run that the journal of its target does not confirm: %v; runs %v", exchange, runs))
		}
	case result.NotRun.String():
		for _, run := range runs {
			if !isLater(run, exchange, attempts) {
				mismatches = append(mismatches, fmt.Sprintf("response reports not-run although the request ran: %v; run %v",
					exchange, run))
			}
		}
	case result.Unknown.String():
	default:
		mismatches = append(mismatches, fmt.Sprintf("response has no valid outcome: %v", exchange))
	}
	return mismatches
}

// hasRun reports whether the target in the response started the request before the response arrived and completed it.
func hasRun(exchange Exchange, runs []Run) bool {
	for _, run := range runs {
		if run.Target == exchange.Target && run.Outcome == standin.RunDone && !run.StartedAt.After(exchange.RespondedAt) {
			return true
		}
	}
	return false
}

// isLater reports whether a run belongs to a later attempt of the same request: the run started after the response with
// the outcome not-run arrived, and another attempt was sent after the attempt with that response.
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
