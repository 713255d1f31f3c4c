// Package bench measures the router's policies under an open-loop load in virtual time.
//
// It runs the real placement, balance, retry and admission code against a model of the network, the targets and the
// control loop, with the same arrivals and the same work for each stack. The same seed gives the same output. The model
// leaves out the wire formats, the processor time of the router, and the delay of statuses between entry VMs.
package bench
