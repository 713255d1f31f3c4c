// Package testbed runs the built programs as processes on loopback ports, for the demo and for tests with real
// processes.
//
// It starts entry VMs, the operators' commands and the stand-ins for the platform and for targets, injects faults, and
// compares the responses that callers received with the requests that targets ran. It ends only processes that it
// started itself. A watchdog shell kills the processes that are still running when the test process ends without its
// cleanup, for instance after a panic or a timeout.
package testbed
