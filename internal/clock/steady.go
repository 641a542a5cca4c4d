package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Monotonic returns the reading of the machine's monotonic clock (CLOCK_MONOTONIC). The clock
// doesn't step when the wall clock is set, and its readings can be compared between
// processes, also successive ones, of one boot of the machine. It is the clock of the
// monotonic reading in a time.Time, which is not accessible there.
func Monotonic() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &reading); err != nil {
		panic(err) // all kernels have this clock
	}
	return time.Duration(reading.Nano())
}
