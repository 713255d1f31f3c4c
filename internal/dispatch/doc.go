// Package dispatch is the request path: it resolves a request to a target, admits it, sends or forwards it, retries what
// may be retried and classifies the outcome.
//
// An attempt goes directly to its target, or through the target's lessor, which is this VM or a peer. A lessor runs a
// forwarded request or refuses it and never forwards it again. Only the VM that received a request retries it.
//
// Attempts of a non-idempotent request that end as "not run" concern that attempt only. The caller is told "not run" after
// the lessor has closed the request ID, and "unknown" without the lessor's word.
//
// Lock order. SetTable and Stop hold Dispatcher.tableMu first; below it come the locks of dedup.Table, then the lock of
// the set of gates, then one gate. The locks of lifecycle, pendingForwards, runningForwards and coldNotes are leaves: no other
// lock is taken under them. No lock is held during a call to target.Client, Sender or a policy.
package dispatch
