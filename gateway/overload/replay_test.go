package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/limit"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/internal/eventqueue"
)

// The replayed service: endpoints that run some requests each, queue others, reject those beyond, and report no
// load. Its callers wait for some seconds and come back once after a refusal.
const (
	replaySlots   = 6
	replayQueue   = 24
	replayWork    = 60 * time.Millisecond // mean
	replayGoal    = 300 * time.Millisecond
	replayTimeout = 4 * time.Second
	replayWarmup  = 6 * time.Second
	replayCrowd   = 6 * time.Second // follows the warm-up
	replayRest    = 3 * time.Second // after the crowd, for requests that are under way
	replayUsual   = 0.4             // load in the warm-up, as a multiple of the capacity

	replayMessage = 400 // bytes, from which the interval of messages follows
	replayDelay   = 2 * time.Millisecond
)

var replayStart = time.Unix(1000, 0)

// A scenario is the load of a replay.
type scenario struct {
	routers   int
	endpoints int
	load      float64 // in the crowd, as a multiple of the capacity
	options   Options
	// accounts are the client accounts' shares of the requests; in the crowd, those of the first one are
	// multiplied by surge.
	accounts []float64
	surge    float64
	// urgent is the share of the requests that have a higher priority.
	urgent float64
	// peers is the number of peers that routers assume, as a multiple of the right one.
	peers float64
	// silent reports that no messages are sent in the crowd.
	silent bool
	// slow makes the work in the crowd take this many times as long at all endpoints.
	slow float64
	// frozen is the number of endpoints that serve nothing for a second in the crowd.
	frozen int
}

// tally counts what became of requests that arrived in the crowd, callers' returns included.
type tally struct {
	arrivals           int
	first              int // without returns
	rejectedByRouter   int
	rejectedByEndpoint int
	inTime             int
	late               int // waited too long at an endpoint
	returned           int // answered after a return
}

func (c *tally) served() float64 { return float64(c.inTime + c.late + c.returned) }

// servedShare returns the share of the callers that were served.
func (c *tally) servedShare() float64 { return c.served() / float64(c.first) }

type replayRequest struct {
	account, router int
	urgent          bool
	asked           time.Duration // of the caller's first attempt
	arrived         time.Duration // of this attempt
	returned        bool
	timeout         time.Duration // that its caller states at first
	tallies         []*tally
	decision        Decision
}

type replayEndpoint struct {
	running     int
	waiting     []*replayRequest
	frozenUntil time.Duration
}

// A replay plays a scenario.
type replay struct {
	scenario
	eventqueue.Queue
	random *rand.Rand
	tables []*Table
	// onDecision is called for each decision of a router, unless it is nil.
	onDecision func(router int, d Decision)
	attempts   [][]int   // in flight, by router and endpoint
	callers    []float64 // cumulative shares of the callers, by router
	endpoints  []replayEndpoint

	all, urgent, others tally // all requests, the urgent ones, and those of all accounts but the first
	byAccount           []tally
}

func play(s scenario) *replay {
	r := newReplay(s)
	r.play()
	return r
}

func newReplay(s scenario) *replay {
	if len(s.accounts) == 0 {
		s.accounts = []float64{1}
	}
	if s.peers == 0 {
		s.peers = 1
	}
	r := &replay{
		scenario: s, random: rand.New(rand.NewPCG(8, 0)),
		endpoints: make([]replayEndpoint, s.endpoints), byAccount: make([]tally, len(s.accounts)),
	}
	sum := 0.0
	for range s.routers {
		r.tables = append(r.tables, r.newTable())
		r.attempts = append(r.attempts, make([]int, s.endpoints))
		sum += math.Exp(0.6 * r.random.NormFloat64()) // the balancer gives routers uneven shares
		r.callers = append(r.callers, sum)
	}
	for i := range r.tables {
		r.callers[i] /= sum
		r.sendFigures(i)
	}
	for account, share := range s.accounts {
		r.arrive(account, share)
	}
	if s.frozen > 0 {
		r.After(replayWarmup+2*time.Second, r.freeze)
	}
	return r
}

func (r *replay) newTable() *Table {
	table := New(r.options)
	table.random = r.random.Float64
	return table
}

// play plays the scenario to its end.
func (r *replay) play() {
	r.Run(replayWarmup + replayCrowd + replayRest)
}

func (r *replay) clock() time.Time { return replayStart.Add(r.Now()) }
func (r *replay) inCrowd() bool {
	return r.Now() >= replayWarmup && r.Now() < replayWarmup+replayCrowd
}

// capacity returns the requests per second that the endpoints can answer.
func (r *replay) capacity() float64 {
	return float64(replaySlots*len(r.endpoints)) / replayWork.Seconds()
}

// sendFigures sends a router's figures to some peers at once, and then regularly.
func (r *replay) sendFigures(router int) {
	targets := min(peers.Fanout, len(r.tables)-1)
	interval := max(peers.Interval, time.Duration(targets*replayMessage)*time.Second/peers.BytesPerSecond)
	r.After(time.Duration(2*r.random.Float64()*float64(interval)), func() {
		r.sendFigures(router)
		if r.silent && r.inCrowd() {
			return
		}
		figures := r.tables[router].Figures(r.clock())
		for range targets {
			if to := r.random.IntN(len(r.tables)); to != router {
				r.After(replayDelay, func() { r.tables[to].Merge(r.clock(), figures) })
			}
		}
	})
}

// arrive lets an account's requests arrive until the crowd ends.
func (r *replay) arrive(account int, share float64) {
	rate := share * r.capacity() * replayUsual
	if r.inCrowd() {
		rate = share * r.capacity() * r.load
		if account == 0 && r.surge > 0 {
			rate *= r.surge
		}
	}
	wait := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
	if r.Now() < replayWarmup && r.Now()+wait >= replayWarmup {
		r.After(replayWarmup-r.Now(), func() { r.arrive(account, share) })
		return
	}
	if r.Now()+wait >= replayWarmup+replayCrowd {
		return
	}
	r.After(wait, func() {
		r.serve(r.newRequest(account))
		r.arrive(account, share)
	})
}

func (r *replay) newRequest(account int) *replayRequest {
	q := &replayRequest{account: account, asked: r.Now(), urgent: r.random.Float64() < r.scenario.urgent}
	q.timeout = time.Duration((0.85 + 0.15*r.random.Float64()) * float64(replayTimeout))
	if !r.inCrowd() {
		return q
	}
	q.tallies = []*tally{&r.all, &r.byAccount[account]}
	if q.urgent {
		q.tallies = append(q.tallies, &r.urgent)
	}
	if account > 0 {
		q.tallies = append(q.tallies, &r.others)
	}
	q.count(func(c *tally) { c.first++ })
	return q
}

func (q *replayRequest) count(add func(*tally)) {
	for _, c := range q.tallies {
		add(c)
	}
}

// serve lets a request arrive at a router.
func (r *replay) serve(q *replayRequest) {
	q.arrived, q.router = r.Now(), 0
	for x := r.random.Float64(); r.callers[q.router] < x; {
		q.router++
	}
	q.count(func(c *tally) { c.arrivals++ })
	request := &Request{
		Service: "s", Route: "r", Account: ryeford.AccountID(fmt.Sprint(q.account)), Work: 1,
		Goal: replayGoal, Timeout: q.timeout - (r.Now() - q.asked), Priority: ryeford.PriorityDefault,
	}
	if q.urgent {
		request.Priority = ryeford.PriorityHighest
	}
	room := limit.Room{Slots: replaySlots * len(r.endpoints), Goal: replayGoal, Peers: int(r.peers * float64(len(r.tables)-1))}
	q.decision = r.tables[q.router].Admit(r.clock(), request, func() limit.Room { return room })
	if r.onDecision != nil {
		r.onDecision(q.router, q.decision)
	}
	if !q.decision.Admitted {
		q.count(func(c *tally) { c.rejectedByRouter++ })
		r.refuse(q)
		return
	}
	r.send(q, r.leastLoaded(q.router))
}

// leastLoaded returns the endpoint to which a router has the fewest requests in flight.
func (r *replay) leastLoaded(router int) int {
	best, offset := -1, r.random.IntN(len(r.endpoints))
	for n := range r.endpoints {
		i := (n + offset) % len(r.endpoints)
		if best < 0 || r.attempts[router][i] < r.attempts[router][best] {
			best = i
		}
	}
	return best
}

func (r *replay) send(q *replayRequest, endpoint int) {
	e := &r.endpoints[endpoint]
	r.attempts[q.router][endpoint]++
	switch {
	case e.running < replaySlots && r.Now() >= e.frozenUntil:
		r.start(endpoint, q)
	case len(e.waiting) < replayQueue:
		e.waiting = append(e.waiting, q)
	default:
		r.attempts[q.router][endpoint]--
		r.tables[q.router].Rejected(r.clock(), "s", &q.decision)
		q.count(func(c *tally) { c.rejectedByEndpoint++ })
		r.refuse(q)
	}
}

// refuse lets a refused caller come back once, within the part of its time that it waits. Its Retry-After is at least
// the time for which the overload has lasted.
func (r *replay) refuse(q *replayRequest) {
	if q.returned {
		return
	}
	last := 0.3 * float64(q.timeout)
	from := min(last, max(float64(100*time.Millisecond), float64(r.Now()-replayWarmup)))
	r.After(time.Duration(from+r.random.Float64()*(last-from)), func() {
		r.serve(&replayRequest{account: q.account, urgent: q.urgent, asked: q.asked, returned: true, timeout: q.timeout, tallies: q.tallies})
	})
}

// start starts a request at an endpoint.
func (r *replay) start(endpoint int, q *replayRequest) {
	e := &r.endpoints[endpoint]
	e.running++
	work := float64(replayWork) * math.Exp(0.5*r.random.NormFloat64()-0.125)
	if r.slow > 0 && r.inCrowd() {
		work *= r.slow
	}
	r.After(time.Duration(work), func() {
		e.running--
		r.attempts[q.router][endpoint]--
		r.tables[q.router].Answered(r.clock(), "s", r.Now()-q.arrived)
		q.count(func(c *tally) { r.countAnswer(c, q) })
		r.runWaiting(endpoint)
	})
}

func (r *replay) countAnswer(c *tally, q *replayRequest) {
	switch {
	case r.Now()-q.arrived > replayGoal:
		c.late++
	case q.returned:
		c.returned++
	default:
		c.inTime++
	}
}

func (r *replay) runWaiting(endpoint int) {
	e := &r.endpoints[endpoint]
	for e.running < replaySlots && len(e.waiting) > 0 && r.Now() >= e.frozenUntil {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.start(endpoint, next)
	}
}

// freeze lets some endpoints start no request for a second.
func (r *replay) freeze() {
	for i := range r.frozen {
		r.endpoints[i].frozenUntil = r.Now() + time.Second
		r.After(time.Second, func() { r.runWaiting(i) })
	}
}

// inTimeShare returns the requests that were answered in time without a return, as a share of the capacity.
func (r *replay) inTimeShare() float64 {
	return float64(r.all.inTime) / (r.capacity() * replayCrowd.Seconds())
}

// String returns the shares of the outcomes in one line.
func (r *replay) String() string {
	c := &r.all
	arrivals := float64(c.arrivals)
	return fmt.Sprintf("%3d routers, %d endpoints, load %.1f: of %d arrivals routers rejected %.3f and endpoints %.3f; served %.3f of the capacity, of which late %.3f, after a return %.3f",
		r.routers, len(r.endpoints), r.load, c.arrivals, float64(c.rejectedByRouter)/arrivals, float64(c.rejectedByEndpoint)/arrivals,
		c.served()/(r.capacity()*replayCrowd.Seconds()), float64(c.late)/c.served(), float64(c.returned)/c.served())
}
