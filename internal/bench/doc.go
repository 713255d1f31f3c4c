// Package bench measures the router's policies under an open-loop load in virtual time.
//
// It runs the production code of placement, balancing, retries and admission against a model of the network, the
// targets and the control loop. Each stack gets the same arrivals and the same work, and the same seed gives the same
// output. The model omits the wire formats, the CPU time of the router, and the delay of target statuses between entry
// VMs.
package bench
