//go:build review

// Command case runs one case of the review: it starts gateways with the commands of the deploy file, and plays the
// platform, the servers and the clients itself. It exits with 1 if a rule was broken, 0 if it held, and 2 if the case
// couldn't run.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
)

// exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// A setup is what all cases have.
type setup struct {
	host    string // a loopback address of this run
	dir     string // a temporary folder
	trouble bool
	record  *record
}

var cases = map[string]func(*setup) (int, error){
	"truncated": runTruncated,
	"junk":      runJunk,
	"leaving":   runLeaving,
	"versions":  runVersions,
	"takeup":    runTakeUp,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 4 && args[0] == "server" {
		return runServer(args[1], args[2], args[3] == "true")
	}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME RECORD")
		return failed
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.close()
	s := &setup{
		host: fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(199)),
		dir:  dir, trouble: os.Getenv("TROUBLE") != "0", record: r,
	}
	code, err := cases[args[0]](s)
	if err != nil {
		r.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken"}[code]
	r.add("%s", verdict)
	fmt.Println(verdict)
	return code
}
