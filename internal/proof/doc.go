// Package proof holds the stateful fuzz tests of the router's invariants. It has no code outside its tests.
package proof
