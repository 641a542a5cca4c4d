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
	// simEndpoints is how many endpoints a router may probe.
	simEndpoints = 4
	simSeed      = 23
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
	// connect is how long a request waits at an endpoint that does not answer its attempt
	// to connect; zero in a simulation in which that is known of all beforehand. probe is
	// the time between two such attempts at an endpoint that is known to be silent; zero
	// if each request makes one.
	connect, probe time.Duration
	// through is the share of routers that reach the endpoints all the same. Callers come
	// back at any router.
	through float64
	// unlisted says that the endpoints are not listed while they are out.
	unlisted bool

	began   time.Time
	mu      sync.Mutex
	busy    int                         // slots
	queue   []*waiter                   // the most urgent first
	returns []int                       // in each tick
	recent  []Recent                    // in each window
	silent  bool                        // the last attempt to connect that ended was not answered
	ejected time.Duration               // until then
	probed  [simEndpoints]time.Duration // when the last probe of each endpoint began
	held    []time.Duration             // the time to the answer of each refused request
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
		reason, ejected := s.try(classes[kind].priority, s.through > 0 && random.Float64() < s.through)
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
			Err: NotRun(reason), Unavailable: ejected, Recent: s.count(reason),
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

// try sends a request once, by way of a router that reaches the endpoints all the same or
// one that does not, and returns why it was refused, or nothing.
func (s *simulation) try(priority ryeford.Priority, through bool) (ryeford.Reason, time.Duration) {
	at := time.Since(s.began)
	switch {
	case s.unlisted && s.out(at):
		return ryeford.ReasonNoCandidate, 0
	case s.connect > 0 && !through:
		if left := s.reach(at); left > 0 {
			return ryeford.ReasonUnreachable, left
		}
	case s.connect == 0 && !s.unlisted && s.out(at):
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

// reach connects a request to an endpoint. If there is none it returns, as soon as the
// request is answered, for how long the endpoints are still ejected.
func (s *simulation) reach(at time.Duration) time.Duration {
	if !s.tries(at) {
		return s.refuse(at)
	}
	out := s.out(at)
	if out {
		time.Sleep(s.connect)
	}
	s.mu.Lock()
	s.silent = out
	s.ejected = time.Since(s.began) + simEjection
	s.mu.Unlock()
	if out {
		return s.refuse(at)
	}
	return 0
}

// tries reports whether a request tries an endpoint, and takes the probe that it makes.
func (s *simulation) tries(at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.silent || s.probe == 0 {
		return true
	}
	for i, began := range s.probed {
		if at-began >= s.probe {
			s.probed[i] = at
			return true
		}
	}
	return false
}

// refuse notes how long a request was held that came at a moment, and returns for how
// long the endpoints are still ejected.
func (s *simulation) refuse(at time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.began)
	s.held = append(s.held, now-at)
	return max(1, s.ejected-now)
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

// TestOverloadReturns plays traffic above the capacity that lasts, and compares returns that
// come after as long as the overload has lasted with those that do not.
func TestOverloadReturns(t *testing.T) {
	const begin = time.Second
	for _, row := range []struct {
		load   float64
		length time.Duration
	}{{1.4, 6 * time.Second}, {2, 4 * time.Second}, {4, 2 * time.Second}} {
		play := func(known bool) simResult {
			during := func(at time.Duration) bool { return at >= begin && at < begin+row.length }
			var result simResult
			synctest.Test(t, func(*testing.T) {
				s := simulation{out: func(time.Duration) bool { return false }, length: 12 * time.Second}
				s.load = func(at time.Duration) float64 { return map[bool]float64{true: row.load, false: 0.6}[during(at)] }
				s.rule = func(r Request) Band {
					if at := time.Since(s.began); known && during(at) {
						r.Overloaded = at - begin
					}
					return byUrgency(r)
				}
				result = s.run(begin + row.length)
			})
			return result
		}
		before, after := play(false), play(true)
		t.Logf("%v x capacity for %v, before: %v", row.load, row.length, before)
		t.Logf("%v x capacity for %v, after:  %v", row.load, row.length, after)
		assert.Assert(t, after.all >= before.all)
		assert.Assert(t, after.served[0] >= before.served[0], "the most urgent")
	}
}

// TestUnlistedReturns plays the loss of all endpoints, which are not listed any more, and
// compares the return in force with that of a service whose endpoints are listed.
func TestUnlistedReturns(t *testing.T) {
	for _, load := range []float64{0.8, 0.2} {
		for _, length := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second} {
			play := func(unlisted bool) simResult {
				s := outage(load, length)
				s.unlisted = true
				s.rule = func(r Request) Band {
					r.Unlisted = unlisted
					return byUrgency(r)
				}
				return playOutage(t, &s, length)
			}
			before, after := play(false), play(true)
			t.Logf("%v at %.1f x capacity, before: %v", length, load, before)
			t.Logf("%v at %.1f x capacity, after:  %v", length, load, after)
			assert.Assert(t, after.all >= before.all)
			assert.Assert(t, after.served[0] >= before.served[0], "the most urgent")
		}
	}
}

// TestProbes plays the loss of all endpoints, which do not answer attempts to connect, at
// all routers or at half of them. Of the requests that find that out, each waits for an
// attempt of its own; or one now and then does, and the others are refused at once. The
// latter is not in force: with returns as few as callers make, fewer are served.
func TestProbes(t *testing.T) {
	for _, row := range []struct{ load, through float64 }{{0.8, 0}, {0.2, 0}, {0.8, 0.5}, {0.2, 0.5}} {
		for _, length := range []time.Duration{time.Second, 3 * time.Second} {
			play := func(probe time.Duration) simResult {
				s := outage(row.load, length)
				s.connect, s.probe, s.through = 400*time.Millisecond, probe, row.through
				result := playOutage(t, &s, length)
				slices.Sort(s.held)
				n := len(s.held)
				t.Logf("%v at %.1f x capacity, %.1f of the routers serve, probe every %v: held for %v (p50), %v (p99); %v",
					length, row.load, row.through, probe, s.held[n/2], s.held[n*99/100], result)
				return result
			}
			each, oneAtATime := play(0), play(100*time.Millisecond)
			if row.through == 0 && length == 3*time.Second {
				assert.Assert(t, each.all > oneAtATime.all)
				assert.Assert(t, each.served[0] > oneAtATime.served[0], "the most urgent")
			}
		}
	}
}

// outageBegin is when a simulated outage begins.
const outageBegin = time.Second

// outage returns the simulation of an outage of some length.
func outage(load float64, length time.Duration) simulation {
	return simulation{
		load:   func(time.Duration) float64 { return load },
		out:    func(at time.Duration) bool { return at >= outageBegin && at < outageBegin+length },
		length: 10 * time.Second,
		rule:   byUrgency,
	}
}

// playOutage runs the simulation of an outage.
func playOutage(t *testing.T, s *simulation, length time.Duration) simResult {
	var result simResult
	synctest.Test(t, func(*testing.T) { result = s.run(outageBegin + length) })
	return result
}
