package giveup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// The simulated service and its callers. A caller sends its request anew, as callers do,
// at most maxReturns times, and honours a Retry-After up to a third of its remaining time.
const (
	simSlots = 24
	simWork  = 60 * time.Millisecond
	simQueue = 12
	// simWindow is half of the time for which refusals and answers count.
	simWindow  = 500 * time.Millisecond
	simTick    = 100 * time.Millisecond
	capacity   = float64(simSlots) * float64(time.Second) / float64(simWork) // requests a second
	maxReturns = 3
	// simEjection is the term for which endpoints that can't be reached are ejected.
	simEjection = 1500 * time.Millisecond
	simSeed     = 23
)

// A class is one kind of the simulated callers.
type class struct {
	priority ryeford.Priority
	deadline time.Duration
	share    float64 // of all callers
}

// classes are those of a deployment whose most urgent requests have the shorter
// deadlines, but for the last class.
var classes = []class{
	{ryeford.PriorityHighest, 4 * time.Second, 0.2},
	{ryeford.PriorityHighest - 1, 6 * time.Second, 0.3},
	{ryeford.PriorityHighest - 2, 3 * time.Second, 0.4},
	{ryeford.PriorityHighest - 2, 15 * time.Second, 0.1},
}

// inUse are their priorities.
var inUse = []ryeford.Priority{ryeford.PriorityHighest, ryeford.PriorityHighest - 1, ryeford.PriorityHighest - 2}

// A simulation is a service that is overloaded or out for some time, and its callers.
type simulation struct {
	load   func(at time.Duration) float64 // first requests, as a multiple of capacity
	out    func(at time.Duration) bool    // no endpoint can be reached
	length time.Duration
	rule   func(Request) Band

	began   time.Time
	mu      sync.Mutex
	busy    int       // slots
	queue   []*waiter // the most urgent first
	returns []int     // in each tick
	recent  []Recent  // in each window
	tally   chan outcome
}

// An outcome is how one caller fared.
type outcome struct {
	class  int
	served bool
	took   time.Duration
}

// A simResult is what a simulation came to.
type simResult struct {
	wave   float64         // the most returns in a tick, as a multiple of capacity
	second float64         // the same in the second after the trouble, without first requests
	all    float64         // share of callers that were served
	served []float64       // the same by class
	late   []time.Duration // 90 in 100 were served in less, by class
}

// run plays the simulation in a synctest bubble.
func (s *simulation) run(after time.Duration) simResult {
	s.began = time.Now()
	s.returns = make([]int, 10*s.length/simTick)
	s.recent = make([]Recent, 10*s.length/simWindow)
	s.tally = make(chan outcome, 1<<16)
	random := rand.New(rand.NewPCG(simSeed, 0))
	n := uint64(0)
	for at := time.Duration(0); at < s.length; at = time.Since(s.began) {
		rate := capacity * s.load(at)
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		n++
		go s.call(s.pick(random.Float64()), rand.New(rand.NewPCG(simSeed, n)))
	}
	var outcomes []outcome
	for range n {
		outcomes = append(outcomes, <-s.tally)
	}
	return s.result(outcomes, after)
}

// pick returns a class.
func (s *simulation) pick(point float64) int {
	for i := range classes {
		if point -= classes[i].share; point < 0 {
			return i
		}
	}
	return len(classes) - 1
}

// call plays one caller.
func (s *simulation) call(kind int, random *rand.Rand) {
	began := time.Now()
	for attempt := 0; ; attempt++ {
		reason, ejected := s.try(classes[kind].priority)
		if reason == "" {
			s.count(reason)
		}
		took := time.Since(began)
		left := classes[kind].deadline - took
		if reason == "" || attempt == maxReturns || left <= 0 {
			s.tally <- outcome{class: kind, served: reason == "" && left >= 0, took: took}
			return
		}
		band := s.rule(Request{
			Err: NotRun(reason), Ejected: ejected, Recent: s.count(reason),
			Caller: Caller{Priority: classes[kind].priority, InUse: inUse, Left: left},
		})
		wait := band.From + time.Duration(random.Float64()*float64(band.To-band.From))
		time.Sleep(min(wait, left/3))
		s.countReturn()
	}
}

// countReturn counts a caller that is back.
func (s *simulation) countReturn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returns[time.Since(s.began)/simTick]++
}

// count counts the end of a request, and returns what was counted of others lately.
func (s *simulation) count(reason ryeford.Reason) Recent {
	s.mu.Lock()
	defer s.mu.Unlock()
	window := time.Since(s.began) / simWindow
	counts := s.recent[window]
	if window > 0 {
		counts.Refused += s.recent[window-1].Refused
		counts.Answered += s.recent[window-1].Answered
	}
	if reason == "" {
		s.recent[window].Answered++
	} else {
		s.recent[window].Refused++
	}
	return counts
}

// try sends a request once, and returns why it was refused, or nothing.
func (s *simulation) try(priority ryeford.Priority) (ryeford.Reason, time.Duration) {
	at := time.Since(s.began)
	if s.out(at) {
		return ryeford.ReasonUnreachable, simEjection - at%simEjection
	}
	w := &waiter{priority: priority, admitted: make(chan bool, 1)}
	if !s.enter(w) || !<-w.admitted {
		return ryeford.ReasonOverload, 0
	}
	time.Sleep(simWork)
	s.leave()
	return "", 0
}

// A waiter is a request at the service that has no slot yet.
type waiter struct {
	priority ryeford.Priority
	admitted chan bool // false: a more urgent one has taken its place
}

// enter gives a request a slot or a place in the queue, and reports whether there was
// one: the least urgent request that waits gives way to a more urgent one.
func (s *simulation) enter(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy < simSlots {
		s.busy++
		w.admitted <- true
		return true
	}
	if len(s.queue) == simQueue {
		last := s.queue[simQueue-1]
		if last.priority >= w.priority {
			return false
		}
		last.admitted <- false
		s.queue = s.queue[:simQueue-1]
	}
	s.queue = append(s.queue, w)
	slices.SortStableFunc(s.queue, func(a, b *waiter) int { return int(b.priority - a.priority) })
	return true
}

// leave gives a slot to the most urgent request that waits.
func (s *simulation) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		s.busy--
		return
	}
	s.queue[0].admitted <- true
	s.queue = s.queue[1:]
}

// result sums the outcomes up. The trouble ends at after.
func (s *simulation) result(outcomes []outcome, after time.Duration) simResult {
	var r simResult
	perTick := capacity * simTick.Seconds()
	for i, n := range s.returns {
		height := float64(n) / perTick
		r.wave = max(r.wave, height)
		if tick := time.Duration(i) * simTick; tick >= after && tick < after+time.Second {
			r.second = max(r.second, height)
		}
	}
	allServed := 0
	for kind := range classes {
		served, all := 0, 0
		var times []time.Duration
		for _, o := range outcomes {
			if o.class != kind {
				continue
			}
			all++
			if o.served {
				served++
				times = append(times, o.took)
			}
		}
		allServed += served
		slices.Sort(times)
		r.served = append(r.served, float64(served)/float64(all))
		r.late = append(r.late, times[len(times)*9/10])
	}
	r.all = float64(allServed) / float64(len(outcomes))
	return r
}

// String returns a result as the pages show it.
func (r simResult) String() string {
	text := fmt.Sprintf("highest wave %.2f of capacity, in the second after the trouble %.2f; served %.3f:", r.wave, r.second, r.all)
	for i := range classes {
		text += fmt.Sprintf(" %.2f (p90 %d ms)", r.served[i], r.late[i].Milliseconds())
	}
	return text
}

// byReason is the rule of commit c7cc2a2: a time that goes by the reason alone, and up
// to twice that.
func byReason(r Request) Band {
	base := 100 * time.Millisecond
	if reasonOf(r.Err) == string(ryeford.ReasonUnreachable) {
		base = 150 * time.Millisecond
	}
	return Band{From: base, To: 2 * base}
}

// byUrgency is the rule in force.
func byUrgency(r Request) Band { return Decide(r).RetryAfter }

// TestReturns plays a burst of four times the capacity, and the loss of all endpoints.
func TestReturns(t *testing.T) {
	const begin = time.Second
	for name, row := range map[string]struct {
		trouble time.Duration
		load    func(during bool) float64
		out     bool
	}{
		"burst of 4 times capacity":   {2 * time.Second, func(during bool) float64 { return map[bool]float64{true: 4, false: 0.6}[during] }, false},
		"full outage, 0.8 x capacity": {3 * time.Second, func(bool) float64 { return 0.8 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			during := func(at time.Duration) bool { return at >= begin && at < begin+row.trouble }
			play := func(rule func(Request) Band) simResult {
				var result simResult
				synctest.Test(t, func(*testing.T) {
					s := simulation{
						load:   func(at time.Duration) float64 { return row.load(during(at)) },
						out:    func(at time.Duration) bool { return row.out && during(at) },
						length: 10 * time.Second,
						rule:   rule,
					}
					result = s.run(begin + row.trouble)
				})
				return result
			}
			before, after := play(byReason), play(byUrgency)
			t.Logf("before: %v", before)
			t.Logf("after:  %v", after)
			assert.Assert(t, after.wave <= before.wave)
			assert.Assert(t, after.second <= before.second)
			assert.Assert(t, after.all >= before.all)
		})
	}
}
