package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A machine is one whose clocks a test sets.
type machine struct {
	steady, day, boot time.Duration
	busy              bool // no reading is exact
	readings          int
}

// run lets a time pass, in which all clocks go on.
func (m *machine) run(d time.Duration) { m.steady, m.day, m.boot = m.steady+d, m.day+d, m.boot+d }

// suspend lets a time pass, in which the steady clock stands still.
func (m *machine) suspend(d time.Duration) { m.day, m.boot = m.day+d, m.boot+d }

func (m *machine) measure() (time.Duration, bool) {
	m.readings++
	return m.boot - m.steady, !m.busy
}

// newMachine returns a machine, and the suspensions of a process that has just started there.
func newMachine() (*machine, *suspensions) {
	m := &machine{steady: time.Hour, day: 1000 * time.Hour, boot: 3 * time.Hour}
	s := newSuspensions(m.measure, time.Now())
	s.apart.Store(int64(m.day - m.steady))
	s.checked.Store(int64(m.steady))
	return m, s
}

// TestSuspended checks what counts as suspended, as of the first reading after it.
func TestSuspended(t *testing.T) {
	for _, test := range []struct {
		name   string
		happen func(m *machine, s *suspensions)
		want   time.Duration
	}{
		{"nothing", func(*machine, *suspensions) {}, 0},
		{"the process was stopped, or the machine busy", func(m *machine, _ *suspensions) { m.run(30 * time.Second) }, 0},
		{"suspended", func(m *machine, _ *suspensions) { m.suspend(5 * time.Second) }, 5 * time.Second},
		{"the time of day steps forward", func(m *machine, _ *suspensions) { m.day += 5 * time.Second }, 0},
		{"the time of day steps back", func(m *machine, _ *suspensions) { m.day -= 5 * time.Second }, 0},
		{"suspended, and the time of day was set back by half", func(m *machine, _ *suspensions) {
			m.suspend(4 * time.Second)
			m.day -= 2 * time.Second
		}, 4 * time.Second},
		{"suspended, and the time of day was set back by as much, a moment ago", func(m *machine, _ *suspensions) {
			m.suspend(4 * time.Second)
			m.day -= 4 * time.Second
		}, 0},
		{"the same, checkInterval ago", func(m *machine, _ *suspensions) {
			m.suspend(4 * time.Second)
			m.day -= 4 * time.Second
			m.run(checkInterval + 1)
		}, 4 * time.Second},
		{"twice", func(m *machine, s *suspensions) {
			m.suspend(time.Second)
			s.at(m.steady, m.day)
			m.run(time.Second)
			m.suspend(2 * time.Second)
		}, 3 * time.Second},
		{"the time of day is slewed for an hour", func(m *machine, s *suspensions) {
			for range 3600 {
				m.run(time.Second)
				m.day += 500 * time.Microsecond
				s.at(m.steady, m.day)
			}
		}, 0},
		{"the machine is too busy to tell, then not", func(m *machine, s *suspensions) {
			m.suspend(5 * time.Second)
			m.busy = true
			assert.Equal(t, s.at(m.steady, m.day), time.Duration(0))
			m.busy = false
		}, 5 * time.Second},
	} {
		m, s := newMachine()
		test.happen(m, s)
		assert.Equal(t, s.at(m.steady, m.day), test.want, test.name)
		assert.Equal(t, s.woke.Load() != 0, test.want > 0, test.name)
	}
}

// TestReadings checks how often the kernel's clocks are read while nothing happens.
func TestReadings(t *testing.T) {
	m, s := newMachine()
	for range 10_000 {
		m.run(time.Millisecond)
		s.at(m.steady, m.day)
	}
	assert.Assert(t, m.readings < 110, "%d in 10 s", m.readings)
}

// TestMeasureBoot checks the kernel's clocks against each other: one that counts suspensions is not
// behind one that doesn't, and their distance is the same a moment later.
func TestMeasureBoot(t *testing.T) {
	first, ok := measureBoot()
	for !ok {
		first, ok = measureBoot()
	}
	assert.Assert(t, first > -exactReading, "%v", first)
}

// TestSuspend checks that Now is ahead by an injected suspension at once, and goes on from there.
func TestSuspend(t *testing.T) {
	before, runtime := Now(), time.Now()
	total := Suspended()
	Suspend(7 * time.Second)
	since, passed := Since(before), time.Since(runtime)
	assert.Assert(t, since >= 7*time.Second, "%v", since)
	assert.Assert(t, since-passed < 7*time.Second+time.Second, "%v, %v", since, passed)
	assert.Equal(t, (Suspended() - total).Round(10*time.Millisecond), 7*time.Second)
	assert.Assert(t, Woke().After(before) && !Woke().After(Now()))
	assert.Assert(t, Until(before) < -7*time.Second)
}

// BenchmarkNow gives the time of a reading, beside the runtime's.
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

// BenchmarkMeasure gives the time of comparing the kernel's clocks.
func BenchmarkMeasure(b *testing.B) {
	for b.Loop() {
		measureBoot()
	}
}
