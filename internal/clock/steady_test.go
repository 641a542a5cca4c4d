package clock

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// childVariable is set for the process that TestSteady starts, which prints the time.
const childVariable = "RYEFORD_CLOCK_CHILD"

// TestMain prints the time in a process that TestSteady has started.
func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		fmt.Println(Steady().Nanoseconds())
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// TestSteady checks that processes agree on the steady clock, and that it runs as fast as
// the runtime's. It fails for a clock that each process starts anew.
func TestSteady(t *testing.T) {
	began, before := time.Now(), Steady()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childVariable+"=1")
	output, err := child.Output()
	assert.NilError(t, err)
	after, took := Steady(), time.Since(began)
	var between time.Duration
	_, err = fmt.Sscan(string(output), (*int64)(&between))
	assert.NilError(t, err)
	assert.Assert(t, before < between && between < after, "%s, %s, %s", before, between, after)
	assert.Assert(t, after-before <= took, "%s, %s", after-before, took)
}
