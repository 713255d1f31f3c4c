// Package dispatch is the request path: it resolves a request to a target, admits it, sends or forwards it, retries what
// may be retried and classifies the outcome.
package dispatch
