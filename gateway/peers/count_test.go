package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCount checks for how long after its last message a peer is alive, and for how long
// its loads count.
func TestCount(t *testing.T) {
	l := DefaultLimits()
	for _, test := range []struct {
		age               time.Duration
		alive, loadsCount bool
	}{
		{0, true, true},
		{time.Second, true, true},
		{time.Second + 1, true, false},
		{3 * time.Second, true, false},
		{3*time.Second + 1, false, false},
	} {
		assert.Equal(t, l.alive(test.age), test.alive, "%s", test.age)
		assert.Equal(t, l.loadsCount(test.age), test.loadsCount, "%s", test.age)
	}
}

// TestExtrapolate checks the estimate for peers whose loads don't count.
func TestExtrapolate(t *testing.T) {
	for _, test := range []struct {
		sum, counted, alive int
		want                float64
	}{
		{0, 1, 5, 0},
		{6, 3, 3, 6},
		{6, 3, 4, 8},
		{3, 1, 10, 30},
	} {
		assert.Equal(t, extrapolate(test.sum, test.counted, test.alive), test.want)
	}
}

// TestVersionAfter checks which of two messages of one sender is the newer.
func TestVersionAfter(t *testing.T) {
	for _, test := range []struct {
		name string
		v, w version
		want bool
	}{
		{"the first message", version{started: 1, sequence: 1}, version{}, true},
		{"the next", version{started: 1, sequence: 6}, version{started: 1, sequence: 5}, true},
		{"duplicated", version{started: 1, sequence: 5}, version{started: 1, sequence: 5}, false},
		{"overtaken", version{started: 1, sequence: 4}, version{started: 1, sequence: 5}, false},
		{"from a newer process", version{started: 2, sequence: 1}, version{started: 1, sequence: 5}, true},
		{"from an earlier process", version{started: 1, sequence: 6}, version{started: 2, sequence: 1}, false},
	} {
		assert.Equal(t, test.v.after(test.w), test.want, test.name)
	}
}
