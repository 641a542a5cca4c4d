package occupancy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/eventqueue"
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
	// simRest is time after the overload for the requests that are in flight.
	simRest = time.Minute
	simSeed = 27
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

// A simulation simulates requests at routers that decide by their tables.
type simulation struct {
	eventqueue.Queue
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
	r.Run(simWarmup + simOverload + simRest)
	return r.outcome()
}

// arrive schedules requests at rate requests a second, until the overload ends.
func (r *simulation) arrive(rate func(at time.Duration) float64) {
	if r.Now() > simWarmup+simOverload {
		return
	}
	wait := time.Duration(r.random.ExpFloat64() / rate(r.Now()) * float64(time.Second))
	r.After(wait, func() {
		r.admit(&request{
			router: r.random.IntN(len(r.tables)), endpoint: r.random.IntN(len(r.engines)), arrived: r.Now(),
			work: time.Duration(r.random.ExpFloat64() * float64(simWork)),
		})
		r.arrive(rate)
	})
}

// admit sends a request to its endpoint, unless its router rejects it.
func (r *simulation) admit(q *request) {
	table := r.tables[q.router]
	if r.rejecting && table.Full(start.Add(r.Now()), "s") {
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
	r.After(simFirstEvent, func() {
		table.Report(start.Add(r.Now()), "s", simSlots, &ryeford.EndpointLoad{Running: e.running, Waiting: len(e.waiting)})
		if q.arrived >= simWarmup {
			r.firstEvents = append(r.firstEvents, r.Now()-q.arrived)
		}
	})
	r.After(simFirstEvent+q.work, func() {
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
