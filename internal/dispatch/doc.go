// Package dispatch implements the request path: it resolves a request to a target, admits it, sends or forwards it,
// retries it where that is safe, and classifies the outcome.
//
// An attempt goes directly to its target, or through the target's lessor: the entry VM that renews the target's lease,
// which is this VM or a peer. A lessor either runs a forwarded request or rejects it; it never forwards it again. Only
// the VM that received a request retries it.
//
// For a non-idempotent request, the outcome "not run" of an attempt applies to that attempt only. The caller receives
// "not run" only after the lessor has closed the request ID; without the lessor's confirmation it receives "unknown".
//
// Lock order. SetTable and Stop hold Dispatcher.tableMu first; below it come the locks of dedup.Table, then the lock of
// the set of gates, then one gate. The locks of lifecycle, pendingForwards, runningForwards and coldReports are leaves:
// no other lock is taken while they are held. No lock is held during a call to target.Client, Sender or a policy.
package dispatch
