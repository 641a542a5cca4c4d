package occupancy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
)

// The simulated service. Its engines run simSlots requests concurrently and queue the others in the
// order of arrival. A request takes simWork on average, and its response begins simFirstEvent after
// the engine starts it.
const (
	simSlots      = 48
	simWork       = 1200 * time.Millisecond
	simFirstEvent = 60 * time.Millisecond
	// simGoal is the time within which a response should begin.
	simGoal = 400 * time.Millisecond
	// simOverload is the duration of the overload, which follows simWarmup at half of the capacity.
	simOverload = 6 * time.Second
	simWarmup   = 2 * time.Second
	simSeed     = 27
)

// A request is a simulated request.
type request struct {
	router, endpoint int
	arrived          time.Duration
	work             time.Duration
}

// An engine is a simulated endpoint.
type engine struct {
	running int
	waiting []*request
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

// A simulation simulates requests at routers that decide by their tables.
type simulation struct {
	now       time.Duration
	events    events
	random    *rand.Rand
	tables    []*Table
	engines   []engine
	rejecting bool

	firstEvents []time.Duration // in the overload: time from arrival to the start of the response
	rejected    int             // in the overload
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

// simulate simulates an overload of load times the capacity. rejecting reports that requests are rejected
// when the service is full.
func simulate(routers, endpoints int, load float64, rejecting bool) outcome {
	r := &simulation{random: rand.New(rand.NewPCG(simSeed, 0)), engines: make([]engine, endpoints), rejecting: rejecting}
	for range routers {
		r.tables = append(r.tables, New())
	}
	capacity := float64(endpoints*simSlots) / simWork.Seconds()
	r.arrive(func(at time.Duration) float64 {
		if at < simWarmup {
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

func (r *simulation) after(wait time.Duration, do func()) {
	heap.Push(&r.events, event{at: r.now + wait, do: do})
}

// arrive schedules requests at rate requests a second, until the overload ends.
func (r *simulation) arrive(rate func(at time.Duration) float64) {
	if r.now > simWarmup+simOverload {
		return
	}
	wait := time.Duration(r.random.ExpFloat64() / rate(r.now) * float64(time.Second))
	r.after(wait, func() {
		r.admit(&request{
			router: r.random.IntN(len(r.tables)), endpoint: r.random.IntN(len(r.engines)), arrived: r.now,
			work: time.Duration(r.random.ExpFloat64() * float64(simWork)),
		})
		r.arrive(rate)
	})
}

// admit sends a request to its endpoint, unless its router rejects it.
func (r *simulation) admit(q *request) {
	table := r.tables[q.router]
	if r.rejecting && table.Full(start.Add(r.now), "s") {
		if q.arrived >= simWarmup {
			r.rejected++
		}
		return
	}
	table.Begin("s")
	e := &r.engines[q.endpoint]
	if e.running < simSlots {
		r.run(q)
	} else {
		e.waiting = append(e.waiting, q)
	}
}

// run starts a request at its engine, and schedules the start and the end of its response.
func (r *simulation) run(q *request) {
	e, table := &r.engines[q.endpoint], r.tables[q.router]
	e.running++
	r.after(simFirstEvent, func() {
		table.Report(start.Add(r.now), "s", simSlots, &ryeford.EndpointLoad{Running: e.running, Waiting: len(e.waiting)})
		if q.arrived >= simWarmup {
			r.firstEvents = append(r.firstEvents, r.now-q.arrived)
		}
	})
	r.after(simFirstEvent+q.work, func() {
		table.End("s")
		e.running--
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			r.run(next)
		}
	})
}

func (r *simulation) outcome() outcome {
	all := float64(len(r.firstEvents) + r.rejected)
	slices.Sort(r.firstEvents)
	inTime, _ := slices.BinarySearch(r.firstEvents, simGoal)
	return outcome{
		inTime:   float64(inTime) / all,
		late:     float64(len(r.firstEvents)-inTime) / all,
		rejected: float64(r.rejected) / all,
		p99:      r.firstEvents[len(r.firstEvents)*99/100],
	}
}
