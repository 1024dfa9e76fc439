// Command rig holds the stand-ins of the third review and plays its cases.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit is the longest time that a case may run.
const limit = 110 * time.Second

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	unrun  = 2
)

// cases are the plays by name. Each returns an exit code and the reason.
var cases = map[string]func(f *fleet, trouble bool) (int, string){}

func main() { os.Exit(play()) }

// play runs the case of the first argument with its record in the folder of the second.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return unrun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unrun
	}
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unrun
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, with the disruption: %t", os.Args[1], trouble)
	type result struct {
		code   int
		reason string
	}
	ended := make(chan result, 1)
	go func() {
		code, reason := cases[os.Args[1]](f, trouble)
		ended <- result{code, reason}
	}()
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	code, reason := unrun, "it did not end in time"
	select {
	case r := <-ended:
		code, reason = r.code, r.reason
	case <-told:
		reason = "it was told to stop"
	case <-time.After(limit):
	}
	rec.add("result %d: %s", code, reason)
	fmt.Printf("result %d: %s\n", code, reason)
	return code
}
