// Package admission limits what tenants may send to one entry VM and queues what a service cannot run at once.
//
// Limiter holds the rate and concurrency limits, Queue the waiting requests of one service. Both are safe for
// concurrent use; each has one lock, and neither calls the other.
package admission
