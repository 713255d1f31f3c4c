//go:build review

// Command harness-2 plays the scripts of the second review: it starts the router's own program as separate processes and contains
// the stand-ins of the platform's store, of instances and of clients.
//
//	harness-2 CASE DIR
//
// It writes DIR/record.txt and exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it plays the case without its disturbance.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// result is the outcome of a case.
type result struct {
	broken bool
	text   string
}

var cases = map[string]func(d *deployment) (result, error){
	"poison":           poison,
	"slow-service":     slowService,
	"trickled-uploads": trickledUploads,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE DIR")
		return exitNotRun
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	d, err := newDeployment(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		d.close()
		os.Exit(exitNotRun)
	}()
	outcome, err := cases[os.Args[1]](d)
	if err != nil {
		record.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record.logf("%s", outcome.text)
	fmt.Println(outcome.text)
	if outcome.broken {
		return exitBroken
	}
	return exitHeld
}
