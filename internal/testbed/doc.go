// Package testbed runs the real programs as processes on loopback ports, for the demo and the process tests.
//
// It starts the entry role, the operators' commands and the stand-ins of the platform and of targets, injects faults, and
// compares what callers were told with what targets ran. It ends only processes that it started itself. The kernel ends
// them if the test process dies, where it offers that (Linux).
package testbed
