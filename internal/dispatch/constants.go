package dispatch

import "time"

const (
	// DefaultTimeout is the deadline of a request if neither the caller nor the service sets one.
	DefaultTimeout = 10 * time.Second
	// DefaultWorkers is the number of forwarded requests that one VM serves at a time.
	DefaultWorkers = 256
	// DefaultQueue is the number of forwarded requests that wait for a worker.
	DefaultQueue = 1024
	// DefaultMaxInFlight is the number of callers' requests that one VM handles at a time.
	DefaultMaxInFlight = 16384
	// DefaultMaxPending is the number of forwarded requests that may wait for an answer of a peer.
	DefaultMaxPending = 8192
	// DefaultGateQueue is the number of requests that wait for one target at its lessor. It keeps one slow target from
	// taking all workers.
	DefaultGateQueue = 32

	// holdInterval is the time between attempts of a request whose owner is changing.
	holdInterval = 25 * time.Millisecond
	// holdLimit is the longest time for which a request is held; a key is served again within it after a single loss.
	holdLimit = 3 * time.Second
	// closeReserve is the time before the deadline that is kept for closing a request ID: one question and a second one.
	closeReserve = 250 * time.Millisecond
	// closeTimeout is the longest wait for the lessor's word on a request ID. A renewal every 600 ms confirms the lease, so
	// an ID that is 1 s ahead is confirmed within it.
	closeTimeout = 2 * time.Second
	// silenceFloor and silenceFactor give the time after which a connection counts as silent: max(1 s, 4 x p99).
	silenceFloor  = time.Second
	silenceFactor = 4
	// leaveGrace is the time for which the keys of a leaving target are still served there while they move. With the time
	// for the table to arrive it stays under the bound of 5 s.
	leaveGrace = 4 * time.Second
	// leaseLength is the length of a lease. A lease that surely holds until t was confirmed no earlier than t - 2 s.
	leaseLength = 2 * time.Second
	// crashProbeTimeout bounds the reading of a target's incarnation after its connection broke.
	crashProbeTimeout = 400 * time.Millisecond
	// lateRelease is how long an attempt that ended early keeps its place at a cold target. A cancellation arrives within
	// it unless it is lost: it has a connection of its own, and one entry VM sends one at a time to a target.
	lateRelease = 250 * time.Millisecond
	// maxAttempts bounds the attempts in one race. Several pooled connections to a target can be silent at once.
	maxAttempts = 8
)
