package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulateSchedule runs a schedule for 100 s of simulated time with messages of the given lengths in
// bytes, and returns the bytes and the numbers of messages sent.
func playSchedule(alive, wholeLength, briefLength int) (bytes, whole, brief int) {
	s := NewSchedule(start, 5000)
	for i := range 1000 {
		wholes, briefs := s.Next(start.Add(time.Duration(i)*100*time.Millisecond), alive)
		s.Sent(&Message{}, wholeLength, wholes)
		s.Sent(&Message{Brief: true}, briefLength, briefs)
		whole, brief = whole+wholes, brief+briefs
		bytes += wholes*(wholeLength+datagramHeader) + briefs*(briefLength+datagramHeader)
	}
	return bytes, whole, brief
}

// TestSchedule checks that the rate of bytes is not exceeded, whatever the size of the messages.
func TestSchedule(t *testing.T) {
	for _, length := range []int{100, 700, 2000, 9000} {
		for _, alive := range []int{1, 10, 1000} {
			bytes, _, _ := playSchedule(alive, length, length/2)
			// The first messages are sent before their size is known.
			assert.Assert(t, bytes <= 5000*101+2*Fanout*(length+datagramHeader), "%d bytes in 100 s in pieces of %d", bytes, length)
			assert.Assert(t, length > 2000 || bytes > 5000*60, "%d bytes in 100 s in pieces of %d", bytes, length)
		}
	}
}

// TestScheduleBrief checks that brief messages, and full ones without complete loads, are sent only in
// a fleet too large for complete loads.
func TestScheduleBrief(t *testing.T) {
	_, few, brief := playSchedule(20, 500, 100)
	assert.Equal(t, brief, Fanout, "those that were sent before the size of a message was known")
	_, many, brief := playSchedule(100, 500, 100)
	assert.Assert(t, many < few)
	assert.Assert(t, brief > 3*many)
	s := NewSchedule(start, 5000)
	s.Sent(&Message{}, 472, 1)
	assert.Assert(t, s.Complete(40), "10 of 40 peers are heard in a second")
	assert.Assert(t, !s.Complete(41))
}

// TestScheduleOverdrawn checks that an overdrawn schedule sends nothing until the budget has recovered.
func TestScheduleOverdrawn(t *testing.T) {
	s := NewSchedule(start, 1000)
	whole, brief := s.Next(start, 1000)
	assert.Equal(t, whole, Fanout)
	assert.Equal(t, brief, Fanout)
	s.Sent(&Message{}, 1000-datagramHeader, whole)
	s.Sent(&Message{Brief: true}, 1000-datagramHeader, brief)
	whole, brief = s.Next(start, 1000)
	assert.Equal(t, whole+brief, 0)
	whole, brief = s.Next(start.Add(15*time.Second), 1000)
	assert.Equal(t, whole+brief, 0)
}
