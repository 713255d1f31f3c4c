// Command review-3 plays the scripted cases of the third review: it starts the project's gateway as separate processes, with stand-ins
// of the platform's store, of instances and of clients on loopback addresses, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the longest time that a case may take.
const longest = 110 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripted cases by name.
var cases = map[string]func(w *world) (broken bool, err error){}

func main() {
	if len(os.Args) >= 2 && os.Args[1] == "instance" {
		runInstance(os.Args[2:])
		return
	}
	if len(os.Args) != 4 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 case NAME RECORD-FILE, in the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code.
func play(name, recordFile string) int {
	w, err := newWorld(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	defer w.close()
	type outcome struct {
		broken bool
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := cases[name](w)
		ended <- outcome{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	var broken bool
	select {
	case o := <-ended:
		broken, err = o.broken, o.err
	case <-stop:
		err = errors.New("stopped by a signal")
	case <-time.After(longest):
		err = errors.New("the case takes too long")
	}
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		w.note("result: the rule was broken")
		return exitBroken
	}
	w.note("result: the rule held")
	return exitHeld
}
