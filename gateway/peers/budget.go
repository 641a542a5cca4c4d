package peers

import "time"

// A Budget bounds the bytes that a router sends its peers in a second. It must not
// be used by two goroutines at once.
type Budget struct {
	rate  float64 // bytes a second
	bytes float64 // that may be sent now; below zero if too much was sent
	at    time.Time
}

// NewBudget returns a Budget of so many bytes a second, with one second's worth.
func NewBudget(now time.Time, bytesPerSecond int) *Budget {
	return &Budget{rate: float64(bytesPerSecond), bytes: float64(bytesPerSecond), at: now}
}

// Sends returns how many datagrams of a size in bytes may be sent now, at most k.
// The size of a router's first message is not known beforehand: a size of zero
// allows k, and what is spent beyond the budget delays the next messages.
func (b *Budget) Sends(now time.Time, size, k int) int {
	b.bytes = min(b.rate, b.bytes+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if size <= 0 {
		return k
	}
	return max(0, min(k, int(b.bytes/float64(size))))
}

// Spend takes the bytes of one datagram out of the budget.
func (b *Budget) Spend(size int) { b.bytes -= float64(size) }

// DatagramSize returns the bytes that a message of a length takes on the wire.
func DatagramSize(length int) int { return length + datagramHeader }
