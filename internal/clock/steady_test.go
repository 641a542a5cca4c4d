package clock

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// childVariable is set in the environment of the child process of TestMonotonic, which prints its
// reading of the clock.
const childVariable = "RYEFORD_CLOCK_CHILD"

// TestMain prints the reading of the clock in the child process of TestMonotonic.
func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		fmt.Println(Monotonic().Nanoseconds())
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// TestMonotonic checks that processes share the clock, and that it doesn't run faster than the
// runtime's. It fails for a clock that starts at zero in each process.
func TestMonotonic(t *testing.T) {
	began, before := time.Now(), Monotonic()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childVariable+"=1")
	output, err := child.Output()
	assert.NilError(t, err)
	after, took := Monotonic(), time.Since(began)
	var between time.Duration
	_, err = fmt.Sscan(string(output), (*int64)(&between))
	assert.NilError(t, err)
	assert.Assert(t, before < between && between < after, "%s, %s, %s", before, between, after)
	assert.Assert(t, after-before <= took, "%s, %s", after-before, took)
}
