package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulateSchedule runs a schedule for 100 s of simulated time with messages of the given lengths in
// bytes, and returns the bytes and the numbers of messages sent.
func simulateSchedule(alive, fullLength, briefLength int) (bytes, full, brief int) {
	s := NewSchedule(start, 5000)
	for i := range 1000 {
		fullTargets, briefTargets := s.Next(start.Add(time.Duration(i)*100*time.Millisecond), alive)
		s.RecordSent(&Message{}, fullLength, fullTargets)
		s.RecordSent(&Message{Brief: true}, briefLength, briefTargets)
		full, brief = full+fullTargets, brief+briefTargets
		bytes += fullTargets*(fullLength+datagramHeader) + briefTargets*(briefLength+datagramHeader)
	}
	return bytes, full, brief
}

// TestSchedule checks that the rate of bytes is not exceeded, whatever the size of the messages.
func TestSchedule(t *testing.T) {
	for _, length := range []int{100, 700, 2000, 9000} {
		for _, alive := range []int{1, 10, 1000} {
			bytes, _, _ := simulateSchedule(alive, length, length/2)
			// The first messages are sent before their size is known.
			assert.Assert(t, bytes <= 5000*101+2*Fanout*(length+datagramHeader), "%d bytes in 100 s in messages of %d bytes", bytes, length)
			assert.Assert(t, length > 2000 || bytes > 5000*60, "%d bytes in 100 s in messages of %d bytes", bytes, length)
		}
	}
}

// TestScheduleBrief checks that brief messages, and full ones without complete loads, are sent only in
// a fleet too large for complete loads.
func TestScheduleBrief(t *testing.T) {
	_, few, brief := simulateSchedule(20, 500, 100)
	assert.Equal(t, brief, Fanout, "brief messages sent before their size was known")
	_, many, brief := simulateSchedule(100, 500, 100)
	assert.Assert(t, many < few)
	assert.Assert(t, brief > 3*many)
	s := NewSchedule(start, 5000)
	s.RecordSent(&Message{}, 472, 1)
	assert.Assert(t, s.Complete(40), "messages of 10 of 40 peers are received in a second")
	assert.Assert(t, !s.Complete(41))
}

// TestScheduleOverdrawn checks that an overdrawn schedule sends nothing until the budget has recovered.
func TestScheduleOverdrawn(t *testing.T) {
	s := NewSchedule(start, 1000)
	full, brief := s.Next(start, 1000)
	assert.Equal(t, full, Fanout)
	assert.Equal(t, brief, Fanout)
	s.RecordSent(&Message{}, 1000-datagramHeader, full)
	s.RecordSent(&Message{Brief: true}, 1000-datagramHeader, brief)
	full, brief = s.Next(start, 1000)
	assert.Equal(t, full+brief, 0)
	full, brief = s.Next(start.Add(15*time.Second), 1000)
	assert.Equal(t, full+brief, 0)
}
