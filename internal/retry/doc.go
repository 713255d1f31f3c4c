// Package retry decides whether a failed attempt is tried again and whether a slow one is hedged.
//
// Retries happen only at the entry VM that received the request. Both budgets are kept for each service and entry VM.
// Budget and Hedger are safe for concurrent use; each has one lock, and neither calls the other.
package retry
