// Package proof holds the stateful fuzz tests of the router's invariants. It has no code outside its tests.
//
// A world runs the real control.Node of several entry VMs in virtual time and injects random faults. The log, the VM
// list, the network and the targets are fakes. Package requests in this directory adds the request path.
package proof
