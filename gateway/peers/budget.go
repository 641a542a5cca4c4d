package peers

import "time"

// A Schedule limits the full and brief messages of a router to its budget of bytes. It is not safe
// for concurrent use.
type Schedule struct {
	full, brief         budget
	fullSize, briefSize int // of the last datagram, in bytes; zero before the first
}

// NewSchedule returns the Schedule of a router that may send bytesPerSecond.
func NewSchedule(now time.Time, bytesPerSecond int) *Schedule {
	rate := float64(bytesPerSecond)
	return &Schedule{
		full:  newBudget(now, rate, briefShare),
		brief: newBudget(now, rate, briefShare),
	}
}

// Next returns the number of peers to send a full message to now, and the number of other peers to
// send a brief one to. alive is the number of live peers.
func (s *Schedule) Next(now time.Time, alive int) (full, brief int) {
	share := briefShare
	if s.Complete(alive) {
		share = 0
	}
	full = s.full.sends(now, s.fullSize, 1-share)
	brief = s.brief.sends(now, s.briefSize, share)
	return full, brief
}

// Complete reports whether messages contain the loads of all endpoints. alive is the number of live
// peers.
func (s *Schedule) Complete(alive int) bool {
	received := loadTTL.Seconds() * s.full.rate / float64(max(1, s.fullSize))
	return received >= minReceivedFraction*float64(alive)
}

// RecordSent records that a message of length bytes was sent to targets peers.
func (s *Schedule) RecordSent(message *Message, length, targets int) {
	size := length + datagramHeader
	if message.Brief {
		s.briefSize = size
		s.brief.bytes -= float64(targets * size)
		return
	}
	s.fullSize = size
	s.full.bytes -= float64(targets * size)
}

// RecordOther records bytes that were sent to peers in other datagrams, headers not included. They are taken from
// what full messages may use now, so that both together keep to the budget where it suffices.
func (s *Schedule) RecordOther(datagrams, bytes int) {
	size := float64(bytes + datagrams*datagramHeader)
	s.full.bytes -= min(size, max(0, s.full.bytes))
}

// A budget limits the bytes that are sent per second.
type budget struct {
	rate  float64 // bytes per second, before the share of the message kind is applied
	bytes float64 // available now; negative if the budget is exceeded
	at    time.Time
}

// newBudget returns a budget that holds the bytes of one second at share of the rate.
func newBudget(now time.Time, rate, share float64) budget {
	return budget{rate: rate, bytes: rate * share, at: now}
}

// sends returns how many datagrams of size bytes may be sent now, at most Fanout. The size of a
// router's first message is not known in advance, so a size of zero allows Fanout datagrams. An
// overdraft delays later messages.
func (b *budget) sends(now time.Time, size int, share float64) int {
	rate := b.rate * share
	b.bytes = min(rate, b.bytes+rate*now.Sub(b.at).Seconds())
	b.at = now
	if size <= 0 {
		return Fanout
	}
	return max(0, min(Fanout, int(b.bytes/float64(size))))
}
