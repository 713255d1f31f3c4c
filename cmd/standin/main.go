// Command standin runs small stand-ins of the platform and of targets for tests and the demo. It is never shipped.
package main

func main() {}
