// Package entry is the entry role: it wires the plug-ins, runs the control loop and carries out its effects.
//
// The control loop is one goroutine that owns the control.Node. Everything else talks to it through a queue of events.
// The request path reads the routing tables that the loop publishes and never waits for it.
package entry
