// Package dedup implements the at-most-once table of one entry VM in its role as the lessor of targets. It reads no
// clock: callers pass the time.
//
// A request ID is admitted to run at most once, whatever slot it arrives for: within one VM, the same ID with another
// key is the same ID. Across VMs, the key determines the slot and so the table. A caller that reuses an ID with a key
// whose slot has another lessor is therefore not detected.
//
// The horizon of a slot is the time of the latest request ID that an earlier sender for the slot may have run or
// closed. IDs up to it that are not in the table are refused.
//
// Refusals of Admit concern one attempt only. Only Close makes "not run" true for the caller, because it marks the ID
// so that attempts already in flight are refused as well.
//
// Lock order: the coverage lock, then one shard lock at a time. Admit and Close hold the coverage lock for reading, so
// Export, which holds it for writing, includes every admission for the slots that it hands over.
package dedup
