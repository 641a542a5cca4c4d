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

// The simulated service and its callers. A caller retries its request at most maxRetries times,
// and honors a Retry-After up to a third of its remaining time.
const (
	simSlots = 24
	simWork  = 60 * time.Millisecond
	simQueue = 12
	// simWindow is half of the time for which refusals and answers count.
	simWindow  = 500 * time.Millisecond
	simTick    = 100 * time.Millisecond
	capacity   = float64(simSlots) * float64(time.Second) / float64(simWork) // requests a second
	maxRetries = 3
	// simEjection is how long unreachable endpoints are ejected.
	simEjection = 1500 * time.Millisecond
	// simEndpoints is the number of endpoints that a router may probe.
	simEndpoints = 4
	simSeed      = 23
)

// A class is a group of simulated callers.
type class struct {
	priority ryeford.Priority
	deadline time.Duration
	share    float64 // of all callers
}

// classes models a deployment whose most urgent requests have shorter deadlines, except in the
// last class.
var classes = []class{
	{ryeford.PriorityHighest, 4 * time.Second, 0.2},
	{ryeford.PriorityHighest - 1, 6 * time.Second, 0.3},
	{ryeford.PriorityHighest - 2, 3 * time.Second, 0.4},
	{ryeford.PriorityHighest - 2, 15 * time.Second, 0.1},
}

// inUse holds the priorities of the classes, the highest first.
var inUse = []ryeford.Priority{ryeford.PriorityHighest, ryeford.PriorityHighest - 1, ryeford.PriorityHighest - 2}

// A simulation is a service that is overloaded or down for some time, and its callers.
type simulation struct {
	load   func(at time.Duration) float64 // first requests, as a multiple of capacity
	down   func(at time.Duration) bool    // reports whether all endpoints are unreachable
	length time.Duration
	rule   func(Request) RetryInterval
	// connectTimeout is how long a request waits for an endpoint that does not answer a connection attempt;
	// zero if all requests are refused without an attempt. probeInterval is the interval between attempts
	// at an endpoint that is known to be silent; zero if each request makes one.
	connectTimeout, probeInterval time.Duration
	// reaches is the share of requests that go through a router which still reaches the endpoints.
	reaches float64
	// unlisted reports that the endpoints are not listed while they are down.
	unlisted bool

	began      time.Time
	mu         sync.Mutex
	busy       int                         // slots
	queue      []*waiter                   // highest priority first
	retries    []int                       // by tick
	recent     []RecentCounts              // by window
	silent     bool                        // the last completed connection attempt was not answered
	ejected    time.Duration               // end of the ejection
	lastProbes [simEndpoints]time.Duration // start of the last probe of each endpoint
	held       []time.Duration             // time until each refused request was answered
	results    chan outcome
}

// An outcome is how the request of one caller ended.
type outcome struct {
	class  int
	served bool
	took   time.Duration
}

// A simResult summarizes a simulation.
type simResult struct {
	peak      float64         // most retries in a tick, as a multiple of capacity
	peakAfter float64         // the same in the second after the disturbance
	all       float64         // share of callers that were served
	served    []float64       // share of callers that were served, by class
	p90       []time.Duration // 90th percentile of the time until served, by class
}

// run runs the simulation in a synctest bubble. The disturbance ends at after.
func (s *simulation) run(after time.Duration) simResult {
	s.began = time.Now()
	s.retries = make([]int, 10*s.length/simTick)
	s.recent = make([]RecentCounts, 10*s.length/simWindow)
	s.results = make(chan outcome, 1<<16)
	random := rand.New(rand.NewPCG(simSeed, 0))
	n := uint64(0)
	for at := time.Duration(0); at < s.length; at = time.Since(s.began) {
		rate := capacity * s.load(at)
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		n++
		go s.call(s.pickClass(random.Float64()), rand.New(rand.NewPCG(simSeed, n)))
	}
	var outcomes []outcome
	for range n {
		outcomes = append(outcomes, <-s.results)
	}
	return s.result(outcomes, after)
}

// pickClass returns the index of the class at point, from 0 to 1, of the cumulative shares.
func (s *simulation) pickClass(point float64) int {
	for i := range classes {
		if point -= classes[i].share; point < 0 {
			return i
		}
	}
	return len(classes) - 1
}

// call simulates one caller.
func (s *simulation) call(kind int, random *rand.Rand) {
	began := time.Now()
	for attempt := 0; ; attempt++ {
		reason, ejected := s.try(classes[kind].priority, s.reaches > 0 && random.Float64() < s.reaches)
		if reason == "" {
			s.count(reason)
		}
		took := time.Since(began)
		left := classes[kind].deadline - took
		if reason == "" || attempt == maxRetries || left <= 0 {
			s.results <- outcome{class: kind, served: reason == "" && left >= 0, took: took}
			return
		}
		interval := s.rule(Request{
			Err: NotRun(reason), UnavailableFor: ejected, Recent: s.count(reason),
			Caller: Caller{Priority: classes[kind].priority, InUse: inUse, Left: left},
		})
		wait := interval.From + time.Duration(random.Float64()*float64(interval.To-interval.From))
		time.Sleep(min(wait, left/3))
		s.countRetry()
	}
}

// countRetry counts a retry.
func (s *simulation) countRetry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries[time.Since(s.began)/simTick]++
}

// count counts a request that ended, and returns the counts of the current and the previous window
// before it.
func (s *simulation) count(reason ryeford.Reason) RecentCounts {
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

// try sends a request once, and returns why it was refused, or "", and how long the endpoints are
// still ejected. reaches reports that its router reaches the endpoints during the outage.
func (s *simulation) try(priority ryeford.Priority, reaches bool) (ryeford.Reason, time.Duration) {
	at := time.Since(s.began)
	switch {
	case s.unlisted && s.down(at):
		return ryeford.ReasonNoCandidate, 0
	case s.connectTimeout > 0 && !reaches:
		if left := s.reach(at); left > 0 {
			return ryeford.ReasonUnreachable, left
		}
	case s.connectTimeout == 0 && !s.unlisted && s.down(at):
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

// reach connects a request to an endpoint. If that fails, it returns how long the endpoints are
// still ejected.
func (s *simulation) reach(at time.Duration) time.Duration {
	if !s.attemptsConnect(at) {
		return s.refuse(at)
	}
	down := s.down(at)
	if down {
		time.Sleep(s.connectTimeout)
	}
	s.mu.Lock()
	s.silent = down
	s.ejected = time.Since(s.began) + simEjection
	s.mu.Unlock()
	if down {
		return s.refuse(at)
	}
	return 0
}

// attemptsConnect reports whether a request attempts to connect, and records the probe that it makes.
func (s *simulation) attemptsConnect(at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.silent || s.probeInterval == 0 {
		return true
	}
	for i, began := range s.lastProbes {
		if at-began >= s.probeInterval {
			s.lastProbes[i] = at
			return true
		}
	}
	return false
}

// refuse records how long a refused request that arrived at at was held, and returns how long the
// endpoints are still ejected.
func (s *simulation) refuse(at time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.began)
	s.held = append(s.held, now-at)
	return max(1, s.ejected-now)
}

// A waiter is a request that waits for a slot.
type waiter struct {
	priority ryeford.Priority
	admitted chan bool // false: a request with a higher priority has taken its place
}

// enter gives a request a slot or a place in the queue, and reports whether there was one. If the
// queue is full, the request replaces one with a lower priority.
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

// leave passes a slot on to the waiting request with the highest priority.
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

// result summarizes the outcomes. The disturbance ends at after.
func (s *simulation) result(outcomes []outcome, after time.Duration) simResult {
	var r simResult
	perTick := capacity * simTick.Seconds()
	for i, n := range s.retries {
		height := float64(n) / perTick
		r.peak = max(r.peak, height)
		if tick := time.Duration(i) * simTick; tick >= after && tick < after+time.Second {
			r.peakAfter = max(r.peakAfter, height)
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
		r.p90 = append(r.p90, times[len(times)*9/10])
	}
	r.all = float64(allServed) / float64(len(outcomes))
	return r
}

// String returns a one-line summary.
func (r simResult) String() string {
	text := fmt.Sprintf("peak retry rate %.2f of capacity, in the second after the disturbance %.2f; served %.3f:", r.peak, r.peakAfter, r.all)
	for i := range classes {
		text += fmt.Sprintf(" %.2f (p90 %d ms)", r.served[i], r.p90[i].Milliseconds())
	}
	return text
}

// byReason is the baseline: a base interval that depends on the reason alone, and up to twice
// that.
func byReason(r Request) RetryInterval {
	base := 100 * time.Millisecond
	if reasonOf(r.Err) == string(ryeford.ReasonUnreachable) {
		base = 150 * time.Millisecond
	}
	return RetryInterval{From: base, To: 2 * base}
}

// byPriority is the rule under test.
func byPriority(r Request) RetryInterval { return Decide(r).RetryAfter }

// TestRetryPeaks guards against the rule causing higher retry peaks, or serving fewer callers, than
// byReason in a burst of four times the capacity and in a full outage.
func TestRetryPeaks(t *testing.T) {
	const begin = time.Second
	for name, row := range map[string]struct {
		disturbance time.Duration
		load        func(during bool) float64
		down        bool
	}{
		"burst of 4 times capacity":   {2 * time.Second, func(during bool) float64 { return map[bool]float64{true: 4, false: 0.6}[during] }, false},
		"full outage, 0.8 x capacity": {3 * time.Second, func(bool) float64 { return 0.8 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			during := func(at time.Duration) bool { return at >= begin && at < begin+row.disturbance }
			run := func(rule func(Request) RetryInterval) simResult {
				var result simResult
				synctest.Test(t, func(*testing.T) {
					s := simulation{
						load:   func(at time.Duration) float64 { return row.load(during(at)) },
						down:   func(at time.Duration) bool { return row.down && during(at) },
						length: 10 * time.Second,
						rule:   rule,
					}
					result = s.run(begin + row.disturbance)
				})
				return result
			}
			before, after := run(byReason), run(byPriority)
			t.Logf("before: %v", before)
			t.Logf("after:  %v", after)
			assert.Assert(t, after.peak <= before.peak)
			assert.Assert(t, after.peakAfter <= before.peakAfter)
			assert.Assert(t, after.all >= before.all)
		})
	}
}

// TestOverloadRetries guards against the delay by the duration of an overload reducing the number
// of callers that are served.
func TestOverloadRetries(t *testing.T) {
	const begin = time.Second
	for _, row := range []struct {
		load   float64
		length time.Duration
	}{{1.4, 6 * time.Second}, {2, 4 * time.Second}, {4, 2 * time.Second}} {
		run := func(known bool) simResult {
			during := func(at time.Duration) bool { return at >= begin && at < begin+row.length }
			var result simResult
			synctest.Test(t, func(*testing.T) {
				s := simulation{down: func(time.Duration) bool { return false }, length: 12 * time.Second}
				s.load = func(at time.Duration) float64 { return map[bool]float64{true: row.load, false: 0.6}[during(at)] }
				s.rule = func(r Request) RetryInterval {
					if at := time.Since(s.began); known && during(at) {
						r.OverloadedFor = at - begin
					}
					return byPriority(r)
				}
				result = s.run(begin + row.length)
			})
			return result
		}
		before, after := run(false), run(true)
		t.Logf("%v x capacity for %v, before: %v", row.load, row.length, before)
		t.Logf("%v x capacity for %v, after:  %v", row.load, row.length, after)
		assert.Assert(t, after.all >= before.all)
		assert.Assert(t, after.served[0] >= before.served[0], "the highest priority")
	}
}

// TestUnlistedRetries guards against the later retry for unlisted endpoints reducing the number of
// callers that are served in a full outage.
func TestUnlistedRetries(t *testing.T) {
	for _, load := range []float64{0.8, 0.2} {
		for _, length := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second} {
			run := func(unlisted bool) simResult {
				s := outage(load, length)
				s.unlisted = true
				s.rule = func(r Request) RetryInterval {
					r.Unlisted = unlisted
					return byPriority(r)
				}
				return runOutage(t, &s, length)
			}
			before, after := run(false), run(true)
			t.Logf("%v at %.1f x capacity, before: %v", length, load, before)
			t.Logf("%v at %.1f x capacity, after:  %v", length, load, after)
			assert.Assert(t, after.all >= before.all)
			assert.Assert(t, after.served[0] >= before.served[0], "the highest priority")
		}
	}
}

// TestProbes compares two ways to detect unreachable endpoints in an outage at all or half of the
// routers: each request makes its own connection attempt, as the gateway does, or one request at a
// time probes and the others are refused immediately. The first must serve more callers, since callers
// retry only a few times.
func TestProbes(t *testing.T) {
	for _, row := range []struct{ load, reaches float64 }{{0.8, 0}, {0.2, 0}, {0.8, 0.5}, {0.2, 0.5}} {
		for _, length := range []time.Duration{time.Second, 3 * time.Second} {
			run := func(probeInterval time.Duration) simResult {
				s := outage(row.load, length)
				s.connectTimeout, s.probeInterval, s.reaches = 400*time.Millisecond, probeInterval, row.reaches
				result := runOutage(t, &s, length)
				slices.Sort(s.held)
				n := len(s.held)
				t.Logf("%v at %.1f x capacity, %.1f of the routers serve, probe every %v: held for %v (p50), %v (p99); %v",
					length, row.load, row.reaches, probeInterval, s.held[n/2], s.held[n*99/100], result)
				return result
			}
			each, oneAtATime := run(0), run(100*time.Millisecond)
			if row.reaches == 0 && length == 3*time.Second {
				assert.Assert(t, each.all > oneAtATime.all)
				assert.Assert(t, each.served[0] > oneAtATime.served[0], "the highest priority")
			}
		}
	}
}

// outageBegin is when a simulated outage begins.
const outageBegin = time.Second

// outage returns the simulation of an outage.
func outage(load float64, length time.Duration) simulation {
	return simulation{
		load:   func(time.Duration) float64 { return load },
		down:   func(at time.Duration) bool { return at >= outageBegin && at < outageBegin+length },
		length: 10 * time.Second,
		rule:   byPriority,
	}
}

// runOutage runs the simulation of an outage.
func runOutage(t *testing.T, s *simulation, length time.Duration) simResult {
	var result simResult
	synctest.Test(t, func(*testing.T) { result = s.run(outageBegin + length) })
	return result
}
