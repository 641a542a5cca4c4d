package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNewerVersion checks for how long a newer version than the one in force is known: a
// version that is put in force ends that for itself and for older ones, and no more. It
// fails if a router whose reads are always one change behind forgets with each that it
// knows of the next.
func TestNewerVersion(t *testing.T) {
	var n newerVersion
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	check := func(now, want float64) {
		t.Helper()
		known, ok := n.knownFor(at(now))
		assert.Equal(t, ok, want >= 0)
		assert.Equal(t, ok, n.known())
		if ok {
			assert.Equal(t, known.Seconds(), want)
		}
	}
	const none = -1
	check(0, none)
	n.putInForce(1)
	n.receive(at(1), 1)
	check(1, none)
	n.receive(at(1), 2)
	n.receive(at(2), 2)
	check(2, 1)
	n.receive(at(2.5), 3)
	n.receive(at(2.75), 2)
	check(3, 2)
	n.putInForce(2)
	check(3.5, 1)
	n.receive(at(3.5), 4)
	n.putInForce(1)
	check(4, 1.5)
	n.putInForce(4)
	check(4, none)
	n.receive(at(5), 5)
	check(6, 1)
}
