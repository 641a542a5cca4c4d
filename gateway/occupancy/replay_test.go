package occupancy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
)

// The simulated service. Its engines run replaySlots requests concurrently and queue the others in the
// order of arrival. A request takes replayWork on average, and its response begins replayFirst after
// the engine starts it.
const (
	replaySlots = 48
	replayWork  = 1200 * time.Millisecond
	replayFirst = 60 * time.Millisecond
	// replayGoal is the time within which a response should begin.
	replayGoal = 400 * time.Millisecond
	// replayCrowd is the duration of the overload, which follows replayCalm at half of the capacity.
	replayCrowd = 6 * time.Second
	replayCalm  = 2 * time.Second
	replaySeed  = 27
)

// A replayed is a simulated request.
type replayed struct {
	router, endpoint int
	arrived          time.Duration
	work             time.Duration
}

// An engine is a simulated endpoint.
type engine struct {
	running int
	waiting []*replayed
}

// An event is a scheduled action of the simulation.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// A replay simulates requests at routers that decide by their tables.
type replay struct {
	now     time.Duration
	events  events
	random  *rand.Rand
	tables  []*Table
	engines []engine
	bounded bool

	firsts   []time.Duration // in the overload: time from arrival to the start of the response
	rejected int             // in the overload
}

// An outcome holds the shares of the requests in the overload.
type outcome struct {
	inTime, late, rejected float64
	p99                    time.Duration // 99th percentile of the time until responses began
}

// String returns a one-line summary.
func (o outcome) String() string {
	return fmt.Sprintf("in time %.3f, late %.3f, rejected %.3f, p99 of the first event %d ms", o.inTime, o.late, o.rejected, o.p99.Milliseconds())
}

// play simulates an overload of load times the capacity. bounded reports that requests are rejected
// when the service is full.
func play(routers, endpoints int, load float64, bounded bool) outcome {
	r := &replay{random: rand.New(rand.NewPCG(replaySeed, 0)), engines: make([]engine, endpoints), bounded: bounded}
	for range routers {
		r.tables = append(r.tables, New())
	}
	capacity := float64(endpoints*replaySlots) / replayWork.Seconds()
	r.arrive(func(at time.Duration) float64 {
		if at < replayCalm {
			return 0.5 * capacity
		}
		return load * capacity
	})
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r.outcome()
}

func (r *replay) after(wait time.Duration, do func()) {
	heap.Push(&r.events, event{at: r.now + wait, do: do})
}

// arrive schedules requests at rate requests a second, until the overload ends.
func (r *replay) arrive(rate func(at time.Duration) float64) {
	if r.now > replayCalm+replayCrowd {
		return
	}
	wait := time.Duration(r.random.ExpFloat64() / rate(r.now) * float64(time.Second))
	r.after(wait, func() {
		r.admit(&replayed{
			router: r.random.IntN(len(r.tables)), endpoint: r.random.IntN(len(r.engines)), arrived: r.now,
			work: time.Duration(r.random.ExpFloat64() * float64(replayWork)),
		})
		r.arrive(rate)
	})
}

// admit sends a request to its endpoint, unless its router rejects it.
func (r *replay) admit(q *replayed) {
	table := r.tables[q.router]
	if r.bounded && table.Full(start.Add(r.now), "s") {
		if q.arrived >= replayCalm {
			r.rejected++
		}
		return
	}
	table.Begin("s")
	e := &r.engines[q.endpoint]
	if e.running < replaySlots {
		r.run(q)
	} else {
		e.waiting = append(e.waiting, q)
	}
}

// run starts a request at its engine, and schedules the start and the end of its response.
func (r *replay) run(q *replayed) {
	e, table := &r.engines[q.endpoint], r.tables[q.router]
	e.running++
	r.after(replayFirst, func() {
		table.Report(start.Add(r.now), "s", replaySlots, &ryeford.EndpointLoad{Running: e.running, Waiting: len(e.waiting)})
		if q.arrived >= replayCalm {
			r.firsts = append(r.firsts, r.now-q.arrived)
		}
	})
	r.after(replayFirst+q.work, func() {
		table.End("s")
		e.running--
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			r.run(next)
		}
	})
}

func (r *replay) outcome() outcome {
	all := float64(len(r.firsts) + r.rejected)
	slices.Sort(r.firsts)
	inTime, _ := slices.BinarySearch(r.firsts, replayGoal)
	return outcome{
		inTime:   float64(inTime) / all,
		late:     float64(len(r.firsts)-inTime) / all,
		rejected: float64(r.rejected) / all,
		p99:      r.firsts[len(r.firsts)*99/100],
	}
}
