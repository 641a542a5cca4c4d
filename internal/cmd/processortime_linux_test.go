package cmd

import (
	"time"

	"golang.org/x/sys/unix"
)

// processorTimeOf returns the processor time used by a process.
func processorTimeOf(pid int) (time.Duration, error) {
	// The ID of the process's CPU clock is computed as in clock_getcpuclockid(3): the
	// complement of the process ID, and 2 (CPUCLOCK_SCHED).
	clock := int32(^pid<<3 | 2)
	var used unix.Timespec
	if err := unix.ClockGettime(clock, &used); err != nil {
		return 0, err
	}
	return time.Duration(used.Nano()), nil
}
