// Package requests holds the stateful fuzz tests of the request path together with the control loop. It has no code
// outside its tests.
//
// Each entry VM runs the real control.Node, dispatch.Dispatcher, dedup.Table and target.HTTPClient. The log, the VM
// list, the network and the targets' machines are fakes in the virtual time of a testing/synctest bubble.
package requests
