package peers

import "time"

// A Budget bounds the bytes that a router sends its peers. It must not be used by
// two goroutines at once.
type Budget struct {
	rate  float64 // bytes a second
	bytes float64
	at    time.Time
}

// NewBudget returns a Budget of so many bytes a second, with one second's worth.
func NewBudget(now time.Time, bytesPerSecond int) *Budget {
	return &Budget{rate: float64(bytesPerSecond), bytes: float64(bytesPerSecond), at: now}
}

// Sends returns how many datagrams of a size may be sent now, at most k.
func (b *Budget) Sends(now time.Time, size, k int) int {
	b.bytes = min(b.rate, b.bytes+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if size <= 0 {
		return k
	}
	return max(0, min(k, int(b.bytes/float64(size))))
}

// Spend counts a datagram.
func (b *Budget) Spend(size int) { b.bytes -= float64(size) }
