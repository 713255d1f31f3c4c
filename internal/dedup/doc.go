// Package dedup is the at-most-once table of one entry VM in its role as the lessor of targets. It is pure: callers pass
// the time in.
//
// A request ID is admitted to run at most once, whatever slot it arrives for: the same ID with another key is the same ID
// within one VM. Across VMs the key decides the slot and so the table, hence a caller that reuses an ID with a key whose
// slot has another lessor is not detected.
//
// Refusals of Admit concern one attempt. Only Close makes "not run" true for the caller, because it marks the ID so that
// attempts already under way are refused as well.
//
// Lock order: the coverage lock, then one shard lock at a time. Admit and Close hold the coverage lock for reading, so
// Export, which holds it for writing, sees every admission of the slots that it gives away.
package dedup
