// Package retry decides whether a failed attempt is retried and whether a slow one is hedged.
//
// Only the entry VM that received a request retries it. There is one retry and one hedging budget for each service and
// entry VM.
// Budget and Hedger are safe for concurrent use; each has one lock, and neither calls the other.
package retry
