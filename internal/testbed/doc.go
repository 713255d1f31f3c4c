// Package testbed runs the real programs as processes on loopback ports, for the demo and the process tests.
//
// It starts the entry role, the operators' commands and the stand-ins of the platform and of targets, injects faults, and
// compares what callers were told with what targets ran. It ends only processes that it started itself. A watching shell
// kills those that still run when the test process ends without its cleanup, for instance after a panic or a timeout.
package testbed
