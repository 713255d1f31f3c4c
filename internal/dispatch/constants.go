package dispatch

import "time"

const (
	// DefaultTimeout is the timeout of a request if neither the caller nor the service sets one.
	DefaultTimeout = 10 * time.Second
	// DefaultWorkers is the number of forwarded requests that one VM serves concurrently.
	DefaultWorkers = 256
	// DefaultQueue is the number of forwarded requests that may wait for a worker.
	DefaultQueue = 1024
	// DefaultMaxInFlight limits the requests in flight at one VM. Forwarded requests and running attempts count as
	// well.
	DefaultMaxInFlight = 16384
	// DefaultMaxPending is the number of forwarded requests that may wait for a peer's reply.
	DefaultMaxPending = 8192
	// DefaultGateQueue is the number of requests that may wait for one target at its lessor. It keeps one slow target
	// from occupying all workers.
	DefaultGateQueue = 32

	// holdInterval is the time between attempts of a request whose owner is changing.
	holdInterval = 25 * time.Millisecond
	// holdLimit is the longest time for which a request is held. After a single failure, a key is served again within
	// this time.
	holdLimit = 3 * time.Second
	// quarantineRecheck is the time at a gate after which the quarantine is checked again, which hashes the body, before the
	// request is sent. A shorter wait changes little: strikes take up to 500 ms to be confirmed and to spread.
	quarantineRecheck = 10 * time.Millisecond
	// closeReserve is the time before the deadline that is reserved for closing a request ID. It allows for one query
	// and one repetition.
	closeReserve = 250 * time.Millisecond
	// closeTimeout is the longest wait for the lessor's confirmation of a request ID. A renewal is sent every 500 ms
	// (lease.RenewInterval) and confirms the lease as of the renewal before it, so an ID that is 1 s ahead is confirmed
	// within this time.
	closeTimeout = 2 * time.Second
	// unresponsiveFloor and unresponsiveFactor determine the time after which a connection is considered unresponsive:
	// max(1 s, 4 x p99).
	unresponsiveFloor  = time.Second
	unresponsiveFactor = 4
	// leavingGrace is the time for which a leaving target still serves its keys while they move. Together with the time
	// that a table takes to arrive it stays under the bound of 5 s.
	leavingGrace = 4 * time.Second
	// leaseLength is the duration of a lease. A lease that is certain to be valid until t was confirmed no earlier than
	// t - 2 s.
	leaseLength = 2 * time.Second
	// crashProbeTimeout bounds the query for a target's incarnation after its connection broke.
	crashProbeTimeout = 400 * time.Millisecond
	// lateReleaseDelay is how long an attempt that ended early still counts against the gate of a cold target. Unless
	// it is lost, a cancellation arrives within this time: it has a connection of its own, and one entry VM sends one
	// at a time to a target.
	lateReleaseDelay = 250 * time.Millisecond
	// maxAttempts bounds the attempts in one race. Several pooled connections to a target can be unresponsive at the
	// same time.
	maxAttempts = 8
)
