//go:build review

// Command third runs cases of the review. A case starts a gateway and endpoints as separate processes, and plays the
// platform's store and the callers itself, on loopback addresses. It reports whether a rule was broken.
//
//	third CASE           runs a case in the root of the repository; RECORD is the file that it writes its record to, and
//	                     TROUBLE=0 leaves the disruption out
//	third endpoint SPEC  plays an endpoint; the cases start it
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. A case returns whether a rule was broken.
var cases = map[string]func(*bench) (broken bool, err error){
	"unframed": runUnframed,
}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "endpoint" {
		runEndpoint(os.Args[2])
		return
	}
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: third CASE")
		os.Exit(exitNotRun)
	}
	b, err := newBench()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	broken, err := cases[os.Args[1]](b)
	b.close()
	switch {
	case err != nil:
		b.record.printf("could not run: %v", err)
		os.Exit(exitNotRun)
	case broken:
		b.record.printf("the rule was broken")
		os.Exit(exitBroken)
	}
	b.record.printf("the rule held")
	os.Exit(exitHeld)
}
