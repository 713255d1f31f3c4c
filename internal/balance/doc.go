// Package balance implements load balancing policies, which choose one of several interchangeable targets.
//
// A Policy is shared by all workers of an entry VM; a Tracker holds the load and health of the targets of one service
// as seen by one entry VM. All types are safe for concurrent use. Lock order: Tracker.mu, then SpillBudget.mu, then
// source.mu. No method invokes a callback while it holds a lock.
package balance
