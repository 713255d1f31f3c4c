// Command harness plays the scripts of the review: it starts the role gateway as separate processes and plays clients,
// instances and the platform itself.
//
//	harness CASE DIR
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
// disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit is how long a case may take.
const limit = 115 * time.Second

var cases = map[string]func(w *world) (broken string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE DIR")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		os.Exit(2)
	}
	type verdict struct {
		broken string
		err    error
	}
	done := make(chan verdict, 1)
	go func() {
		broken, err := cases[os.Args[1]](w)
		done <- verdict{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	code := 0
	select {
	case v := <-done:
		switch {
		case v.err != nil:
			code = 2
			w.add("could not run: %v", v.err)
			fmt.Println("could not run:", v.err)
		case v.broken != "":
			code = 1
			w.add("RULE BROKEN: %s", v.broken)
			fmt.Println("RULE BROKEN:", v.broken)
		default:
			w.add("the rule held")
			fmt.Println("the rule held")
		}
	case <-time.After(limit):
		code = 2
		w.add("could not run: time is up")
		fmt.Println("could not run: time is up")
	case <-stop:
		code = 2
	}
	w.close()
	os.Exit(code)
}
