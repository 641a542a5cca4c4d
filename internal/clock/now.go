package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// While a machine is suspended, the monotonic clock stops, and the wall clock and
// CLOCK_BOOTTIME continue. State from before the suspension is then older than the monotonic
// clock shows.
//
// Rule: ages and deadlines use Now, which is ahead of the runtime's clock by all suspensions
// since the process started. A suspension increases the difference of CLOCK_BOOTTIME and
// CLOCK_MONOTONIC. The difference is measured as soon as the wall clock and the monotonic clock,
// which time.Now reads anyway, have diverged, so that the first request after a suspension
// already takes it into account. Otherwise it is measured every checkInterval, since the wall
// clock may have been set back by the duration of the suspension. A step of the wall clock alone
// changes nothing, and neither does a stopped process, whose monotonic clock continues.
//
// Times of Now must not be mixed with those of time.Now: deadlines of contexts and connections
// use the runtime's clock and are computed as time.Now plus Until.

const (
	// maxDivergence is the change of the difference of wall clock and monotonic clock up to which
	// no check is made, and minSuspension the shortest suspension that counts. Both exceed the
	// slewing of the wall clock, at most 0.5 ms per second, and the time between two readings.
	maxDivergence = 5 * time.Millisecond
	minSuspension = 5 * time.Millisecond
	// checkInterval is the longest time between two checks while Now is called.
	checkInterval = 100 * time.Millisecond
	// A measurement that takes longer than maxMeasureTime may have been interrupted between
	// its readings and is repeated, up to maxMeasurements in all.
	maxMeasurements = 5
	maxMeasureTime  = time.Millisecond
)

// A suspensionClock measures the total time for which the machine was suspended. Its integers
// are nanoseconds; monotonic times are relative to base.
type suspensionClock struct {
	// measure returns a lower bound of CLOCK_BOOTTIME minus CLOCK_MONOTONIC, and false if the
	// measurement failed.
	measure   func() (time.Duration, bool)
	base      time.Time    // the time of creation
	initial   atomic.Int64 // the first result of measure
	total     atomic.Int64 // suspended since then
	wallDiff  atomic.Int64 // wall clock minus monotonic clock, at the last check
	checked   atomic.Int64 // monotonic time of the last check
	resumedAt atomic.Int64 // monotonic time plus total when the last suspension was detected; zero for never

	mu sync.Mutex // held during a check
}

var processClock = newSuspensionClock(measureBoot, time.Now())

func newSuspensionClock(measure func() (time.Duration, bool), now time.Time) *suspensionClock {
	s := &suspensionClock{measure: measure, base: now}
	if first, ok := measure(); ok {
		s.initial.Store(int64(first))
	}
	s.wallDiff.Store(now.UnixNano())
	return s
}

// Now returns the current time, ahead of the runtime's clock by the time for which the machine
// was suspended since the process started.
func Now() time.Time {
	now := time.Now()
	return now.Add(processClock.suspendedAt(now.Sub(processClock.base), time.Duration(now.UnixNano())))
}

// Since returns the time elapsed since t, a time of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until t, a time of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// SuspendedTime returns the total time for which the machine was suspended since the process
// started, as far as it has been detected.
func SuspendedTime() time.Duration { return time.Duration(processClock.total.Load()) }

// ResumedAt returns the time, as of Now, at which the last suspension was detected; the zero time
// if there was none.
func ResumedAt() time.Time {
	resumedAt := processClock.resumedAt.Load()
	if resumedAt == 0 {
		return time.Time{}
	}
	return processClock.base.Add(time.Duration(resumedAt))
}

// suspendedAt returns the total time of suspension at the given readings of the monotonic
// clock and the wall clock, after a check if one is due.
func (s *suspensionClock) suspendedAt(monotonic, wall time.Duration) time.Duration {
	divergence := wall - monotonic - time.Duration(s.wallDiff.Load())
	age := monotonic - time.Duration(s.checked.Load())
	if divergence.Abs() > maxDivergence || age.Abs() > checkInterval {
		s.check(monotonic, wall)
	}
	return time.Duration(s.total.Load())
}

// check measures the suspensions. If the measurement fails, the next call of suspendedAt
// checks again.
func (s *suspensionClock) check(monotonic, wall time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	measured, ok := s.measure()
	if !ok {
		return
	}
	s.wallDiff.Store(int64(wall - monotonic))
	s.checked.Store(int64(monotonic))
	total := measured - time.Duration(s.initial.Load())
	if total-time.Duration(s.total.Load()) < minSuspension {
		return
	}
	s.total.Store(int64(total))
	s.resumedAt.Store(int64(monotonic + total))
}

// injected is the time, in nanoseconds, that SimulateSuspension has added to CLOCK_BOOTTIME.
var injected atomic.Int64

// SimulateSuspension simulates a suspension of the machine, for the functions of this package
// that return times of Now. It is for tests and simulations.
func SimulateSuspension(d time.Duration) {
	injected.Add(int64(d))
	processClock.checked.Store(-int64(2 * checkInterval)) // the next Now checks
	processClock.wallDiff.Store(0)
}

// measureBoot returns CLOCK_BOOTTIME minus CLOCK_MONOTONIC. It reads the monotonic clock before
// and after, and subtracts the later reading, so that a delay between the readings makes the
// result too low, never too high. It returns false if each measurement took too long, or if the
// kernel lacks a clock.
func measureBoot() (time.Duration, bool) {
	for range maxMeasurements {
		before, ok1 := readClock(unix.CLOCK_MONOTONIC)
		boot, ok2 := readClock(unix.CLOCK_BOOTTIME)
		after, ok3 := readClock(unix.CLOCK_MONOTONIC)
		if !ok1 || !ok2 || !ok3 {
			return 0, false
		}
		if after-before <= maxMeasureTime {
			return boot - after + time.Duration(injected.Load()), true
		}
	}
	return 0, false
}

func readClock(clock int32) (time.Duration, bool) {
	var reading unix.Timespec
	if err := unix.ClockGettime(clock, &reading); err != nil {
		return 0, false
	}
	return time.Duration(reading.Nano()), true
}
