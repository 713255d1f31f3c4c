// Package soak runs the gateway role as real processes on one machine, injects random faults from outside the processes
// and checks the responses to callers and the requests that targets run. It has tests only.
//
// Faults: processes are killed, stopped, paused and reloaded; a loopback relay delays, closes or blocks connections to
// the store and to targets, the latter in one or both directions; targets crash, restart, drain, fail requests or drop
// responses; the store is down, slow, unresponsive or drops responses; configurations are published and zones
// evacuated. The faults are drawn from a seed and overlap.
package soak
