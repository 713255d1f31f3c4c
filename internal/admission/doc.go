// Package admission limits the requests of tenants at one entry VM, queues requests that a service has no free capacity
// for, and decides which requests are served during a shortage.
//
// Limiter applies the rate and concurrency limits; Queue holds the waiting requests of one service; the entry role uses both.
// Gate decides for the gateway role which requests are sent, wait or are rejected. All are safe for concurrent use; each has
// one lock, and none calls another.
package admission
