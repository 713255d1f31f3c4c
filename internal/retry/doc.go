// Package retry decides whether a failed attempt is retried and whether a slow one is hedged.
//
// Only the entry VM that received a request retries it. There is one retry and one hedging budget for each service and
// entry VM.
//
// Budget and Hedger are safe for concurrent use, and each has one lock. A Hedger calls its Budget without holding its
// own lock.
package retry
