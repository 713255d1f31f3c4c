// Package balance chooses a target among interchangeable ones.
//
// A Policy is shared by all workers of an entry VM; a Tracker holds what one entry VM knows of the targets of one
// service. All types are safe for concurrent use. Lock order: Tracker.mu, then SpillBudget.mu, then source.mu. No method
// calls back while it holds a lock.
package balance
