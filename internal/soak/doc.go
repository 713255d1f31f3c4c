// Package soak runs the gateway role as real processes on one machine, injects random faults from outside of them and
// checks what callers and targets see. It has tests only.
//
// Faults: processes that are killed, stopped, paused and told to reload; connections to the store and to targets that
// are delayed, reset, silenced or cut one way by a loopback relay; targets that crash, start anew, drain, fail requests
// or lose answers; a store that is down, slow, silent or loses answers; configurations and evacuated zones. They come
// from a seed, in series that overlap.
package soak
