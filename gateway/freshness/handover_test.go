package freshness

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/route"
)

const (
	handoverRefresh  = time.Second
	handoverLatest   = 3 * time.Second
	handoverStep     = 5 * time.Millisecond
	handoverLength   = time.Minute
	handoverMessages = 16.0 // messages that each router sends per second
)

// A readerFleet is a fleet of routers that read a configuration in time slots and send confirmations to each
// other by gossip. Times are readings of the source's clock.
type readerFleet struct {
	random    *rand.Rand
	ranks     map[uint64][]int // rank of each router, by time slot
	confirmed []time.Duration
	wakeAt    []time.Duration             // when each router checks next whether its read is due
	arriving  map[time.Duration][]arrival // by the time of arrival, in whole steps
	reads     int
}

// An arrival is a confirmation that reaches a router.
type arrival struct {
	router    int
	confirmed time.Duration
}

// rank returns the rank of a router in a time slot.
func (f *readerFleet) rank(slot uint64, router int) int {
	if f.ranks[slot] == nil {
		f.ranks[slot] = f.random.Perm(len(f.confirmed))
	}
	return f.ranks[slot][router]
}

// read makes a router read the source at a time, and schedules when the confirmation reaches the others. Gossip
// spreads exponentially, so that half of the routers receive it after a time that grows with the logarithm of
// their number.
func (f *readerFleet) read(at time.Duration, router int) {
	f.reads++
	f.confirmed[router] = at
	half := math.Log(float64(len(f.confirmed))) / handoverMessages
	for i := range f.confirmed {
		u := f.random.Float64()
		delay := max(0, half+math.Log(u/(1-u))/handoverMessages)
		step := (at + time.Duration(delay*float64(time.Second))) / handoverStep
		f.arriving[step+1] = append(f.arriving[step+1], arrival{router: i, confirmed: at})
	}
}

// play returns the number of reads per second. bySlot is whether routers check their ranks when a time slot
// begins; otherwise a slot begins for a router with its first confirmation of that slot.
func (f *readerFleet) play(bySlot bool) float64 {
	for now := handoverRefresh / 2; now < handoverLength; now += handoverStep {
		for _, a := range f.arriving[now/handoverStep] {
			f.confirmed[a.router] = max(f.confirmed[a.router], a.confirmed)
		}
		delete(f.arriving, now/handoverStep)
		for i := range f.confirmed {
			if now >= f.wakeAt[i] {
				f.wake(now, i, bySlot)
			}
		}
	}
	return float64(f.reads) / handoverLength.Seconds()
}

// wake makes a router read if its read is due, or else sleep until it is due or the next slot begins.
func (f *readerFleet) wake(now time.Duration, router int, bySlot bool) {
	reading := f.confirmed[router]
	if bySlot {
		reading = now
	}
	rank := f.rank(TimeSlot(reading), router)
	wait := f.confirmed[router] + ReadAge(handoverRefresh, handoverLatest, rank, len(f.confirmed)-1) - now
	if wait <= 0 {
		f.read(now, router)
		wait = minReadPause
	} else if bySlot {
		wait = min(wait, UntilNextSlot(now))
	}
	f.wakeAt[router] = now + wait
}

func newReaderFleet(routers int) *readerFleet {
	return &readerFleet{
		random: rand.New(rand.NewPCG(uint64(routers), route.KeyHash(1))), ranks: make(map[uint64][]int),
		confirmed: make([]time.Duration, routers), wakeAt: make([]time.Duration, routers), arriving: make(map[time.Duration][]arrival),
	}
}

// TestHandover replays the change of the reading router from one time slot to the next. It guards against a next
// reader that still sleeps then, so that many routers of a large fleet read by themselves.
func TestHandover(t *testing.T) {
	const maxReads = 4.0 // per second: two of the first router, at most two of the second
	for _, routers := range []int{4, 60, 357, 720} {
		bySlot, byConfirmation := newReaderFleet(routers).play(true), newReaderFleet(routers).play(false)
		t.Logf("%3d routers: %.1f reads per second, %.1f if routers check their ranks only when a read is due", routers, bySlot, byConfirmation)
		assert.Check(t, bySlot <= maxReads, "%d routers", routers)
	}
}

// TestUntilNextSlot checks the time to the next time slot.
func TestUntilNextSlot(t *testing.T) {
	assert.Equal(t, UntilNextSlot(0), timeSlotDuration)
	assert.Equal(t, UntilNextSlot(timeSlotDuration-1), time.Duration(1))
	assert.Equal(t, UntilNextSlot(5*timeSlotDuration/2), timeSlotDuration/2)
}
