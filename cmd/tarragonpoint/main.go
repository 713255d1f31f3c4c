// Command tarragonpoint is the router and its operators' command line.
package main

func main() {}
