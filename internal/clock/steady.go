package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Steady returns what the steady clock of the machine shows: the time since some moment
// before its programs were started. It never steps, whatever the time of day does, and
// processes that run on one machine, one after the other, may compare it. It is the clock
// whose reading a time.Time carries and does not show.
func Steady() time.Duration {
	var shown unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &shown); err != nil {
		panic(err) // every kernel has this clock
	}
	return time.Duration(shown.Nano())
}
