package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLimits checks how long a peer counts as alive, and how long its loads count.
func TestLimits(t *testing.T) {
	l := DefaultLimits()
	for _, test := range []struct {
		age               time.Duration
		known             int
		alive, loadsCount bool
	}{
		{0, 0, true, true},
		{time.Second, 0, true, true},
		{time.Second + 1, 0, true, false},
		{3 * time.Second, 0, true, false},
		{3*time.Second + 1, 0, false, false},
		{3200 * time.Millisecond, 4, true, false},
		{3200*time.Millisecond + 1, 4, false, false},
		{22500 * time.Millisecond, 390, true, false},
		{22500*time.Millisecond + 1, 390, false, false},
	} {
		assert.Equal(t, l.alive(test.age, test.known), test.alive, "%s, %d peers", test.age, test.known)
		assert.Equal(t, l.loadsCount(test.age), test.loadsCount, "%s", test.age)
	}
}

// TestSample checks the estimates for all peers from the requests of some.
func TestSample(t *testing.T) {
	for _, test := range []struct {
		name      string
		sample    Sample
		fraction  float64 // at an endpoint that doesn't report its load
		reporting float64 // at an endpoint that reports its load
		mean      float64 // at each of 3 endpoints
		demand    float64 // of a prompt with 2 requests
	}{
		{"no peers", Sample{}, 0, 0, 0, 0},
		{"none has reported", Sample{Alive: 5}, 0, 0, 0, 0},
		{"all have reported all endpoints", Sample{Alive: 3, Counted: 3, Complete: 3, Requests: 6}, 1, 1, 2, 2},
		{"some have reported all endpoints", Sample{Alive: 4, Counted: 2, Complete: 2, Requests: 6}, 0.5, 0.5, 4, 2},
		{"some have reported some endpoints", Sample{Alive: 10, Counted: 2, Complete: 1, Requests: 6}, 0.2, 0.1, 10, 5},
	} {
		assert.Equal(t, test.sample.KnownFraction(false), test.fraction, test.name)
		assert.Equal(t, test.sample.KnownFraction(true), test.reporting, test.name)
		assert.Equal(t, test.sample.MeanPerEndpoint(3), test.mean, test.name)
		assert.Equal(t, test.sample.MeanPerEndpoint(0), 0.0, test.name)
		assert.Equal(t, test.sample.ExtrapolateDemand(2), test.demand, test.name)
	}
}

// TestVersionNewerThan checks which of two messages of one sender is the newer.
func TestVersionNewerThan(t *testing.T) {
	for _, test := range []struct {
		name string
		v, w version
		want bool
	}{
		{"the first message", version{started: 1, sequence: 1}, version{}, true},
		{"the next", version{started: 1, sequence: 6}, version{started: 1, sequence: 5}, true},
		{"duplicated", version{started: 1, sequence: 5}, version{started: 1, sequence: 5}, false},
		{"reordered", version{started: 1, sequence: 4}, version{started: 1, sequence: 5}, false},
		{"from a newer process", version{started: 2, sequence: 1}, version{started: 1, sequence: 5}, true},
		{"from an earlier process", version{started: 1, sequence: 6}, version{started: 2, sequence: 1}, false},
	} {
		assert.Equal(t, test.v.newerThan(test.w), test.want, test.name)
	}
}
