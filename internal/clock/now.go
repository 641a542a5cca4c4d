package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// A machine may be suspended: nothing runs, and the steady clock stands still, while the time of day and
// the clock since boot go on. Whatever was known before is older after it than the steady clock says.
//
// Rule: ages and deadlines go by Now, which is ahead of the runtime's clock by all suspensions since the
// process started. A suspension shows in the distance of the two clocks of the kernel. That is read
// at once if the time of day and the steady clock, which time.Now reads anyway, have moved apart, and
// else every checkInterval: the time of day may have been set back by as much. So the first
// request after a suspension is decided with it. A step of the time of day alone changes nothing; a
// process that was stopped has a steady clock that went on.
//
// Times of Now must not be mixed with those of time.Now: deadlines of contexts and connections go
// by the runtime's clock, and are given as time.Now plus Until.

const (
	// apartBound is by how much the time of day may move against the steady clock, and minSuspension
	// by how much the clock since boot must have, so that it counts. The time of day is slewed by 0.5 ms
	// a second at most; reading two clocks one after the other takes some microseconds.
	apartBound    = 5 * time.Millisecond
	minSuspension = 5 * time.Millisecond
	// checkInterval is how often the kernel's clocks are compared at the least while Now is called.
	// Three readings take 0.57 us (BenchmarkMeasure, idle machine).
	checkInterval = 100 * time.Millisecond
	// measureTries is how often they are read until nothing has come in between, and exactReading
	// how long a reading takes at most in which nothing has.
	measureTries = 5
	exactReading = time.Millisecond
)

// A suspensions adds up for how long the machine was suspended.
type suspensions struct {
	// measure returns by how much the clock since boot is ahead of the steady clock, at the least, and
	// false if it can't be told now.
	measure func() (time.Duration, bool)
	base    time.Time    // an early moment, to which the others are relative
	initial atomic.Int64 // what measure returned first
	total   atomic.Int64 // suspended since, in nanoseconds
	apart   atomic.Int64 // the time of day less the steady clock, as of the last check
	checked atomic.Int64 // the steady clock as of the last check
	woke    atomic.Int64 // the steady clock with total, as a suspension was noticed last; zero: never

	mu sync.Mutex // held in a check
}

// process is the clock of this process.
var process = newSuspensions(measureBoot, time.Now())

func newSuspensions(measure func() (time.Duration, bool), now time.Time) *suspensions {
	s := &suspensions{measure: measure, base: now}
	if first, ok := measure(); ok {
		s.initial.Store(int64(first))
	}
	s.apart.Store(now.UnixNano())
	return s
}

// Now returns the present moment, ahead of the runtime's clock by the time for which the machine was
// suspended since the process started.
func Now() time.Time {
	now := time.Now()
	return now.Add(process.at(now.Sub(process.base), time.Duration(now.UnixNano())))
}

// Since returns the time since a moment of Now.
func Since(moment time.Time) time.Duration { return Now().Sub(moment) }

// Until returns the time until a moment of Now.
func Until(moment time.Time) time.Duration { return moment.Sub(Now()) }

// Suspended returns for how long the machine was suspended since the process started, as noticed
// so far.
func Suspended() time.Duration { return time.Duration(process.total.Load()) }

// Woke returns the moment of Now when a suspension was noticed last; the zero time if none was.
func Woke() time.Time {
	woke := process.woke.Load()
	if woke == 0 {
		return time.Time{}
	}
	return process.base.Add(time.Duration(woke))
}

// at returns for how long the machine was suspended until now, given the steady clock and the time
// of day.
func (s *suspensions) at(steady, day time.Duration) time.Duration {
	moved := day - steady - time.Duration(s.apart.Load())
	age := steady - time.Duration(s.checked.Load())
	if moved.Abs() > apartBound || age.Abs() > checkInterval {
		s.check(steady, day)
	}
	return time.Duration(s.total.Load())
}

// check compares the kernel's clocks. If that fails, the next call of at does.
func (s *suspensions) check(steady, day time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ahead, ok := s.measure()
	if !ok {
		return
	}
	s.apart.Store(int64(day - steady))
	s.checked.Store(int64(steady))
	total := ahead - time.Duration(s.initial.Load())
	if total-time.Duration(s.total.Load()) < minSuspension {
		return
	}
	s.total.Store(int64(total))
	s.woke.Store(int64(steady + total))
}

// injected is what tests add to the clock since boot.
var injected atomic.Int64

// Suspend lets the machine have been suspended for a time, as far as Now goes. It is for tests and
// simulations.
func Suspend(d time.Duration) {
	injected.Add(int64(d))
	process.checked.Store(-int64(2 * checkInterval)) // so that the next Now notices
	process.apart.Store(0)
}

// measureBoot returns by how much the clock since boot is ahead of the steady clock, which is read
// before and after it: what came in between makes it less. It returns false if something did each time, or if
// the kernel lacks the clock.
func measureBoot() (time.Duration, bool) {
	for range measureTries {
		before, ok1 := read(unix.CLOCK_MONOTONIC)
		boot, ok2 := read(unix.CLOCK_BOOTTIME)
		after, ok3 := read(unix.CLOCK_MONOTONIC)
		if !ok1 || !ok2 || !ok3 {
			return 0, false
		}
		if after-before <= exactReading {
			return boot - after + time.Duration(injected.Load()), true
		}
	}
	return 0, false
}

// read reads a clock of the kernel.
func read(clock int32) (time.Duration, bool) {
	var shown unix.Timespec
	if err := unix.ClockGettime(clock, &shown); err != nil {
		return 0, false
	}
	return time.Duration(shown.Nano()), true
}
