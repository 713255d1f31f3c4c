// Package entry implements the entry role, the process on an entry VM that receives callers' requests and routes them
// to targets. It connects the plug-ins, runs the control loop and executes its effects.
//
// The control loop is one goroutine that owns the control.Node. Everything else communicates with it through a queue of
// events. The request path reads the routing tables that the loop publishes and never waits for it.
package entry
