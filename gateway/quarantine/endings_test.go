package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCrashesTogether guards against holding a part that ran on endpoints which crashed together with others, again and
// again, as in series of lost failure domains.
func TestCrashesTogether(t *testing.T) {
	for _, test := range []struct {
		name   string
		others [][]Fingerprint // of the requests on the other endpoints that crash with it
		apart  time.Duration
		held   bool
	}{
		{"with another endpoint", [][]Fingerprint{{partB}}, 50 * time.Millisecond, false},
		{"with another endpoint where it ran, too", [][]Fingerprint{{partB, partA}}, 50 * time.Millisecond, true},
		{"well after another endpoint", [][]Fingerprint{{partB}}, 2 * groupTolerance, true},
		{"alone", nil, 0, true},
	} {
		table, peer := New(), New()
		for i := range 4 {
			began := float64(2 * i)
			crash(table, ran{uint32(100 + i), began, began + 0.5, 1, []Fingerprint{partA}})
			for k, parts := range test.others {
				crash(table, ran{uint32(200 + 10*i + k), began, began + 0.5 + test.apart.Seconds(), 1, parts})
			}
			peer.MergeEndings(table.OutgoingEndings(16))
			peer.Merge(at(began+1), table.Outgoing(at(began+1), 6))
		}
		assert.Equal(t, held(table, 9, 1, partA), test.held, test.name)
		assert.Equal(t, held(peer, 9, 1, partA), test.held, test.name)
		assert.Equal(t, len(table.Held()) > 0, test.held, test.name)
	}
}

// TestEndings checks that one crash counts once, however often and with which delay it is reported, and that their number
// is bounded.
func TestEndings(t *testing.T) {
	var known endings
	for i := range 5 {
		known.add(Ending{7, at(float64(i) / 10)})
	}
	known.add(Ending{7, at(2)})
	known.add(Ending{8, at(0.1)})
	assert.Equal(t, len(known), 3)
	assert.DeepEqual(t, known.outgoing(2), []Ending{{7, at(2)}, {8, at(0.1)}})
	for range 2 * sendsPerChange {
		known.outgoing(16)
	}
	assert.Equal(t, len(known.outgoing(16)), 0)
	for i := range 3 * maxEndings {
		known.add(Ending{uint32(1000 + i), at(float64(i))})
	}
	assert.Assert(t, len(known) <= maxEndings)
}
