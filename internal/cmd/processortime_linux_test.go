package cmd

import (
	"time"

	"golang.org/x/sys/unix"
)

// processorTimeOf returns the processor time that a process has used.
func processorTimeOf(pid int) (time.Duration, error) {
	// The number of a process's clock is made as clock_getcpuclockid(3) makes it: the
	// complement of its id, and 2 for the clock that the scheduler keeps.
	clock := int32(^pid<<3 | 2)
	var used unix.Timespec
	if err := unix.ClockGettime(clock, &used); err != nil {
		return 0, err
	}
	return time.Duration(used.Nano()), nil
}
