//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxTime is how long a case may take.
const maxTime = 110 * time.Second

// A verdict is the outcome of a case that could run.
type verdict struct {
	broken bool
	why    string
}

// cases are the functions that play a case, by name. trouble is false if the disruption is left out.
var cases = map[string]func(r *record, trouble bool) (verdict, error){}

func main() {
	if len(os.Args) == 3 && os.Args[1] == modelServerCommand {
		runModelServer(os.Args[2])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, file string) int {
	r, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, disruption: %t", name, trouble)
	time.AfterFunc(maxTime, func() {
		r.add("could not run: it took longer than %v", maxTime)
		r.close()
		stopProcesses()
		os.Exit(exitFailed)
	})
	result, err := cases[name](r, trouble)
	stopProcesses()
	switch {
	case err != nil:
		r.add("could not run: %v", err)
		return exitFailed
	case result.broken:
		r.add("BROKEN: %s", result.why)
		return exitBroken
	}
	r.add("held: %s", result.why)
	return exitHeld
}
