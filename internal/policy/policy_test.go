// Package policy compares ways to choose engines: the decision packages and
// the obvious other ways, driven by the same traces in simulated time.
package policy

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/load"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/route"
	"github.com/ryeford/ryeford/trace"
)

const (
	step           = 5200 * time.Microsecond
	prefillPerStep = 64
	cacheChats     = 400
	gossipEvery    = time.Second
	skewFloor      = 4 // the mean from which the skew counts
	boundFactor    = 1.25
	boundFloor     = 4
	capacity       = 64
	maxWalk        = 6
	maxAsks        = 3 // how often a refused turn comes again
)

// A simEngine is one engine: its gate, its cache, and whether it is there.
type simEngine struct {
	id    ryeford.EngineID
	gate  *admission.Gate
	order *list.List
	cache map[uint64]*list.Element
	over  map[uint64]int // chats of this home that another engine served
	gone  bool
	queue []*simWaiter // turns that wait for its load to fall
}

// A simWaiter is a turn that waits at an engine.
type simWaiter struct {
	done  bool
	retry func()
}

func (e *simEngine) cached(chat uint64) bool { _, ok := e.cache[chat]; return ok }

func (e *simEngine) store(chat uint64) {
	if old, ok := e.cache[chat]; ok {
		e.order.Remove(old)
	}
	e.cache[chat] = e.order.PushFront(chat)
	if e.order.Len() > cacheChats {
		last := e.order.Back()
		e.order.Remove(last)
		delete(e.cache, last.Value.(uint64))
	}
}

// An event is something at a simulated time.
type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// A sim is a fleet in simulated time.
type sim struct {
	random  *rand.Rand
	now     time.Time
	events  eventQueue
	engines []*simEngine
	set     *route.Set
	index   map[ryeford.EngineID]int
	means   []*load.Mean // of each router
	stale   float64      // the mean of the last gossip round, for the others
	running int
	live    int
	waits   bool // turns wait at their warm engine

	skew, meanSkew       float64
	samples              int
	returning, reused    int
	turns, refused, hops int
	seen                 map[uint64]bool
}

// A policy returns the engine that takes a turn, or nil.
type policy func(s *sim, router int, chat uint64, account ryeford.AccountID) *simEngine

const (
	warmWait   = 100 * time.Millisecond
	maxWaiting = 8
)

// waitWarm lets a turn wait where its chat is warm and the engine is at its
// bound, as agents do. It reports whether the turn waits.
func (s *sim) waitWarm(entry *trace.Entry, router int, chat uint64, retry func()) bool {
	var ranking route.Ranking
	s.set.Rank(chat, 1, &ranking)
	e := s.engines[s.index[s.set.Target(int(ranking.Index[0])).Engine]]
	if to, ok := e.over[chat]; ok && !s.engines[to].gone {
		e = s.engines[to]
	}
	request := &admission.Request{Account: entry.Account, Priority: ryeford.PriorityHighest, Share: 1, PoolMean: s.means[router].Value(s.now)}
	if !e.cached(chat) || len(e.queue) >= maxWaiting || e.gate.Check(request).Admitted {
		return false
	}
	w := &simWaiter{}
	w.retry = func() {
		if !w.done {
			w.done = true
			retry()
		}
	}
	e.queue = append(e.queue, w)
	s.at(s.now.Add(warmWait), w.retry)
	return true
}

func newSim(engines, routers int, poolFactor float64) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(1, 2)),
		now:    time.Unix(0, 0),
		index:  make(map[ryeford.EngineID]int),
		seen:   make(map[uint64]bool),
	}
	limits := admission.Limits{PoolFactor: poolFactor, Floor: boundFloor, Capacity: capacity, ShareFrom: 1}
	for i := range engines {
		e := &simEngine{
			id:    ryeford.EngineID(fmt.Sprintf("endpoint-%d.%d", i/4, i%4)),
			gate:  admission.NewGate(limits),
			order: list.New(),
			cache: make(map[uint64]*list.Element),
			over:  make(map[uint64]int),
		}
		s.engines = append(s.engines, e)
		s.index[e.id] = i
	}
	for range routers {
		s.means = append(s.means, load.NewMean(time.Second))
	}
	s.rebuild()
	return s
}

// rebuild makes the candidate set of the engines that are there.
func (s *sim) rebuild() {
	var targets []route.Target
	for i, e := range s.engines {
		if !e.gone {
			targets = append(targets, route.Target{Engine: e.id, Domain: fmt.Sprintf("zone-%d", i/4%7)})
		}
	}
	s.live = len(targets)
	s.set = route.NewSet(targets)
}

func (s *sim) at(when time.Time, do func()) { heap.Push(&s.events, event{at: when, do: do}) }

func (s *sim) run() {
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

// gossip brings each engine's load to one random router, and the mean to the
// policies that work with a gossiped one.
func (s *sim) gossip() {
	total := 0
	for _, e := range s.engines {
		if e.gone {
			continue
		}
		total += e.gate.Load()
		s.means[s.random.IntN(len(s.means))].Add(s.now, float64(e.gate.Load()))
	}
	s.stale = float64(total) / float64(s.live)
}

// turn plays one turn.
func (s *sim) turn(entry *trace.Entry, choose policy, asks int, waited bool) {
	chat := route.ChatHash(entry.Account, entry.Chat)
	router := s.random.IntN(len(s.means))
	if s.waits && !waited && s.waitWarm(entry, router, chat, func() { s.turn(entry, choose, asks, true) }) {
		return
	}
	e := choose(s, router, chat, entry.Account)
	if e == nil {
		if asks < maxAsks {
			wait := 200*time.Millisecond + time.Duration(s.random.Int64N(int64(200*time.Millisecond)))
			s.at(s.now.Add(wait), func() { s.turn(entry, choose, asks+1, false) })
			return
		}
		s.refused++
		return
	}
	s.running++
	s.noteLoad(e)
	warm := e.cached(chat)
	if s.seen[chat] {
		s.returning++
		if warm {
			s.reused++
		}
	}
	s.seen[chat] = true
	e.store(chat)
	tokens := entry.PromptTokens
	if !warm {
		tokens *= 4 // the earlier turns too
	}
	took := time.Duration(tokens/prefillPerStep+1+entry.AnswerTokens) * step
	s.at(s.now.Add(took), func() {
		s.running--
		e.gate.Release(s.now, entry.Account)
		for len(e.queue) > 0 {
			first := e.queue[0]
			e.queue = e.queue[1:]
			if !first.done {
				first.retry()
				return
			}
		}
	})
}

// noteLoad notes the skew as an engine takes a turn.
func (s *sim) noteLoad(e *simEngine) {
	mean := float64(s.running) / float64(s.live)
	if mean < skewFloor {
		return
	}
	skew := float64(e.gate.Load()) / mean
	s.skew = max(s.skew, skew)
	s.meanSkew += skew
	s.samples++
}

// take makes an engine run a turn whatever its load.
func (e *simEngine) take(now time.Time, account ryeford.AccountID) *simEngine {
	e.gate.Admit(now, &admission.Request{Account: account, Priority: ryeford.PriorityHighest, Share: 1, PoolMean: 1e9})
	return e
}

func (s *sim) randomEngine() *simEngine {
	return s.engines[s.index[s.set.Target(s.random.IntN(s.set.Len())).Engine]]
}

func chooseRandom(s *sim, _ int, _ uint64, account ryeford.AccountID) *simEngine {
	return s.randomEngine().take(s.now, account)
}

func chooseTwo(s *sim, _ int, _ uint64, account ryeford.AccountID) *simEngine {
	a, b := s.randomEngine(), s.randomEngine()
	if b.gate.Load() < a.gate.Load() {
		a = b
	}
	return a.take(s.now, account)
}

func chooseHash(s *sim, _ int, chat uint64, account ryeford.AccountID) *simEngine {
	var ranking route.Ranking
	s.set.Rank(chat, 1, &ranking)
	return s.engines[s.index[s.set.Target(int(ranking.Index[0])).Engine]].take(s.now, account)
}

// chooseBounded is hashing with bounded loads against the gossiped mean.
func chooseBounded(s *sim, _ int, chat uint64, account ryeford.AccountID) *simEngine {
	var ranking route.Ranking
	s.set.Rank(chat, maxWalk, &ranking)
	for _, index := range ranking.Index[:ranking.Len] {
		e := s.engines[s.index[s.set.Target(int(index)).Engine]]
		request := &admission.Request{Account: account, Priority: ryeford.PriorityHighest, Share: 1, PoolMean: s.stale}
		if e.gate.Admit(s.now, request).Admitted {
			return e
		}
	}
	return nil
}

// chooseOurs is what the running roles do: the mean from samples, probes of the
// candidates, and the home's memory of where a chat went.
func chooseOurs(s *sim, router int, chat uint64, account ryeford.AccountID) *simEngine {
	var ranking route.Ranking
	s.set.Rank(chat, maxWalk, &ranking)
	home := s.engines[s.index[s.set.Target(int(ranking.Index[0])).Engine]]
	candidates := make([]*simEngine, 0, maxWalk+1)
	if to, ok := home.over[chat]; ok && !s.engines[to].gone {
		candidates = append(candidates, s.engines[to])
	}
	for _, index := range ranking.Index[:ranking.Len] {
		candidates = append(candidates, s.engines[s.index[s.set.Target(int(index)).Engine]])
	}
	var probes load.Probes
	candidates = append(candidates, candidates[0]) // the second round
	for i, e := range candidates {
		if i == len(candidates)-1 {
			probes.Saturated()
		}
		request := &admission.Request{
			Account: account, Priority: ryeford.PriorityHighest, Share: 1,
			PoolMean: probes.Mean(s.now, s.means[router]),
		}
		d := e.gate.Admit(s.now, request)
		s.hops++
		probes.Add(s.now, s.means[router], d.Load)
		if !d.Admitted {
			continue
		}
		delete(home.over, chat)
		if e != home {
			home.over[chat] = s.index[e.id]
		}
		return e
	}
	return nil
}

// controlBytes returns the control bytes a second that a router receives and
// sends, as the messages' encoding gives them.
func controlBytes(b *testing.B, name string, engines, routers int) float64 {
	loads := make([]wire.EngineLoad, 4)
	for i := range loads {
		loads[i] = wire.EngineLoad{Model: "lira-70b", Load: 17}
	}
	agent, err := wire.Marshal(&wire.Gossip{VM: "endpoint-123", Revision: 12345, PlanEpoch: 7, PlanSequence: 1234, Loads: loads})
	if err != nil {
		b.Fatal(err)
	}
	own, err := wire.Marshal(&wire.Gossip{VM: "router-123", Revision: 12345, PlanEpoch: 7, PlanSequence: 1234})
	if err != nil {
		b.Fatal(err)
	}
	agents := float64(engines) / 4
	switch name {
	case "ours", "ours-no-wait":
		return agents/float64(routers)*float64(len(agent)) + float64(len(own))
	case "bounded":
		return agents * float64(len(agent)) // every router hears of every agent
	}
	return 0
}

// BenchmarkPolicy reports, for each policy: skew, the highest busiest engine
// over the mean; reuse, returning turns that find their prefix; refused, turns
// not served after all their asks; tries of each turn; and ctl-B/s.
func BenchmarkPolicy(b *testing.B) {
	policies := []struct {
		name   string
		choose policy
	}{
		{"random", chooseRandom}, {"two", chooseTwo}, {"hash", chooseHash}, {"bounded", chooseBounded},
		{"ours-no-wait", chooseOurs}, {"ours", chooseOurs},
	}
	for _, size := range []struct{ engines, routers, turns int }{{40, 3, 12_000}, {3500, 390, 800_000}} {
		for _, scenario := range []string{"calm", "churn", "event"} {
			for _, p := range policies {
				b.Run(fmt.Sprintf("engines=%d/%s/%s", size.engines, scenario, p.name), func(b *testing.B) {
					for range b.N {
						s := play(size.engines, size.routers, size.turns, scenario, p.name, p.choose)
						s.report(b)
						b.ReportMetric(controlBytes(b, p.name, size.engines, size.routers), "ctl-B/s")
					}
				})
			}
		}
	}
}

// play plays a scenario's trace.
func play(engines, routers, turns int, scenario, name string, choose policy) *sim {
	s := newSim(engines, routers, boundFactor)
	s.waits = name == "ours"
	w := trace.Skriptorij(7, turns)
	w.Seconds, w.EventAt = 10, 4
	if scenario != "event" {
		w.EventPart = 0
	}
	entries := trace.Make(&w)
	for i := range entries {
		s.at(s.now.Add(time.Duration(entries[i].AtMS)*time.Millisecond), func() { s.turn(&entries[i], choose, 0, false) })
	}
	for t := time.Duration(0); t < 10*time.Second; t += gossipEvery {
		s.at(s.now.Add(t), s.gossip)
	}
	if scenario == "churn" {
		for i := 0; i < engines; i += 20 { // 5 in 100
			s.at(s.now.Add(time.Duration(2+i%5)*time.Second), func() { s.engines[i].gone = true; s.rebuild() })
		}
	}
	s.turns = turns
	s.run()
	return s
}

// report reports what a trace came to.
func (s *sim) report(b *testing.B) {
	b.ReportMetric(s.skew, "skew")
	b.ReportMetric(s.meanSkew/float64(max(1, s.samples)), "mean-skew")
	b.ReportMetric(float64(s.reused)/float64(max(1, s.returning)), "reuse")
	b.ReportMetric(float64(s.refused)/float64(s.turns), "refused")
	b.ReportMetric(float64(s.hops)/float64(s.turns), "tries")
}
