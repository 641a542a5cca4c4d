package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A fakeMachine has clocks that a test sets.
type fakeMachine struct {
	mono, wall, boot time.Duration
	busy             bool // measurements fail
	measurements     int
}

// run advances all clocks.
func (m *fakeMachine) run(d time.Duration) { m.mono, m.wall, m.boot = m.mono+d, m.wall+d, m.boot+d }

// suspend advances all clocks but the monotonic one.
func (m *fakeMachine) suspend(d time.Duration) { m.wall, m.boot = m.wall+d, m.boot+d }

func (m *fakeMachine) measure() (time.Duration, bool) {
	m.measurements++
	return m.boot - m.mono, !m.busy
}

// newFakeMachine returns a machine, and the clock of a process that has just started on it.
func newFakeMachine() (*fakeMachine, *suspensionClock) {
	m := &fakeMachine{mono: time.Hour, wall: 1000 * time.Hour, boot: 3 * time.Hour}
	s := newSuspensionClock(m.measure, time.Now())
	s.wallDiff.Store(int64(m.wall - m.mono))
	s.checked.Store(int64(m.mono))
	return m, s
}

// TestSuspended checks that the suspensions of the machine, and nothing else, are detected: by the
// first reading after them or, if the wall clock hides them or a measurement fails, by a later one.
func TestSuspended(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(m *fakeMachine, s *suspensionClock)
		want   time.Duration
	}{
		{"nothing", func(*fakeMachine, *suspensionClock) {}, 0},
		{"the process was stopped, or the machine busy", func(m *fakeMachine, _ *suspensionClock) { m.run(30 * time.Second) }, 0},
		{"suspended", func(m *fakeMachine, _ *suspensionClock) { m.suspend(5 * time.Second) }, 5 * time.Second},
		{"the wall clock steps forward", func(m *fakeMachine, _ *suspensionClock) { m.wall += 5 * time.Second }, 0},
		{"the wall clock steps back", func(m *fakeMachine, _ *suspensionClock) { m.wall -= 5 * time.Second }, 0},
		{"suspended, and the wall clock was set back by half", func(m *fakeMachine, _ *suspensionClock) {
			m.suspend(4 * time.Second)
			m.wall -= 2 * time.Second
		}, 4 * time.Second},
		{"suspended, and the wall clock was set back by as much, before the next check is due", func(m *fakeMachine, _ *suspensionClock) {
			m.suspend(4 * time.Second)
			m.wall -= 4 * time.Second
		}, 0},
		{"the same, after checkInterval", func(m *fakeMachine, _ *suspensionClock) {
			m.suspend(4 * time.Second)
			m.wall -= 4 * time.Second
			m.run(checkInterval + 1)
		}, 4 * time.Second},
		{"suspended twice", func(m *fakeMachine, s *suspensionClock) {
			m.suspend(time.Second)
			s.suspendedAt(m.mono, m.wall)
			m.run(time.Second)
			m.suspend(2 * time.Second)
		}, 3 * time.Second},
		{"the wall clock is slewed for an hour", func(m *fakeMachine, s *suspensionClock) {
			for range 3600 {
				m.run(time.Second)
				m.wall += 500 * time.Microsecond
				s.suspendedAt(m.mono, m.wall)
			}
		}, 0},
		{"the first measurement after it fails", func(m *fakeMachine, s *suspensionClock) {
			m.suspend(5 * time.Second)
			m.busy = true
			assert.Equal(t, s.suspendedAt(m.mono, m.wall), time.Duration(0))
			m.busy = false
		}, 5 * time.Second},
	} {
		m, s := newFakeMachine()
		test.change(m, s)
		assert.Equal(t, s.suspendedAt(m.mono, m.wall), test.want, test.name)
		assert.Equal(t, s.resumedAt.Load() != 0, test.want > 0, test.name)
	}
}

// TestMeasureRate checks that the kernel's clocks are read no more often than about once per
// checkInterval without a suspension.
func TestMeasureRate(t *testing.T) {
	m, s := newFakeMachine()
	for range 10_000 {
		m.run(time.Millisecond)
		s.suspendedAt(m.mono, m.wall)
	}
	assert.Assert(t, m.measurements < 110, "%d measurements in 10 s", m.measurements)
}

// TestMeasureBoot checks that CLOCK_BOOTTIME, which includes suspensions, is not behind
// CLOCK_MONOTONIC.
func TestMeasureBoot(t *testing.T) {
	first, ok := measureBoot()
	for !ok {
		first, ok = measureBoot()
	}
	assert.Assert(t, first > -maxMeasureTime, "%v", first)
}

// TestSimulateSuspension checks that Now jumps by a simulated suspension immediately, and then continues
// normally.
func TestSimulateSuspension(t *testing.T) {
	before, runtime := Now(), time.Now()
	total := SuspendedTime()
	SimulateSuspension(7 * time.Second)
	since, elapsed := Since(before), time.Since(runtime)
	assert.Assert(t, since >= 7*time.Second, "%v", since)
	assert.Assert(t, since-elapsed < 7*time.Second+time.Second, "%v, %v", since, elapsed)
	assert.Equal(t, (SuspendedTime() - total).Round(10*time.Millisecond), 7*time.Second)
	assert.Assert(t, ResumedAt().After(before) && !ResumedAt().After(Now()))
	assert.Assert(t, Until(before) < -7*time.Second)
}

// BenchmarkNow compares Now with time.Now.
func BenchmarkNow(b *testing.B) {
	b.Run("clock", func(b *testing.B) {
		for b.Loop() {
			Now()
		}
	})
	b.Run("runtime", func(b *testing.B) {
		for b.Loop() {
			time.Now()
		}
	})
}

func BenchmarkMeasure(b *testing.B) {
	for b.Loop() {
		measureBoot()
	}
}
