// Package admission limits the requests of tenants at one entry VM and queues requests that a service has no free
// capacity for.
//
// Limiter applies the rate and concurrency limits; Queue holds the waiting requests of one service. Both are safe for
// concurrent use; each has one lock, and neither calls the other.
package admission
