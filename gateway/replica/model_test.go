package replica

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

// The model checker walks all interleavings of a small fleet: routers read the source, tell each
// other how new their copies are and read from each other; messages are lost, come late, twice or
// in any order; routers stand still for as long as they like and start anew.
const (
	modelRouters = 3
	modelFlight  = 2 // messages under way at once
)

// modelLogs are, by the source's era, its revisions and what the list has as of each: two changes lie
// among revisions of something else. The second era goes on from a copy of the first one at the
// revision modelCopied, and the third from a copy of the second.
var modelLogs = [][]string{
	{1: "ab", 2: "ab", 3: "a", 4: "a", 5: "ac"},
	{1: "ab", 2: "ab", 3: "ab", 4: "b", 5: "bd"},
	{1: "ab", 2: "ab", 3: "b", 4: "b", 5: "be"},
}

// modelCopied is the number of the last revision that the store still has after a restore.
const modelCopied = 2

// modelRevision returns the revision of a number in an era.
func modelRevision(era, number int64) ryeford.Revision {
	revision, err := ryeford.NewRevision(era, number)
	if err != nil {
		panic(err)
	}
	return revision
}

// A modelMessage is under way to a router: the range of a peer's copy, or changes.
type modelMessage struct {
	to      int
	from    int // the peer; it holds what the range is of
	at      Range
	changes *Changes // nil if the message is a range
}

// A modelState is the state of the whole fleet.
type modelState struct {
	revision ryeford.Revision // of the source
	lastEra  int64            // the source is not restored any more
	routers  [modelRouters]*Replica
	flight   []modelMessage
}

func (r *Replica) clone() *Replica {
	return &Replica{at: r.at, entries: maps.Clone(r.entries), removed: maps.Clone(r.removed), horizon: r.horizon}
}

func (s *modelState) clone() *modelState {
	next := &modelState{revision: s.revision, lastEra: s.lastEra, flight: slices.Clone(s.flight)}
	for i, r := range s.routers {
		next.routers[i] = r.clone()
	}
	return next
}

// key tells states apart.
func (s *modelState) key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.revision)
	for _, r := range s.routers {
		fmt.Fprint(&b, "|", r.at, r.horizon, r.entries, r.removed)
	}
	for _, m := range s.flight {
		fmt.Fprint(&b, "|", m.to, m.from, m.at, m.changes)
	}
	return b.String()
}

// modelList returns what the list has as of a revision.
func modelList(revision ryeford.Revision) []ryeford.EndpointID {
	var ids []ryeford.EndpointID
	for _, id := range modelLogs[revision.Era()][revision.Number()] {
		ids = append(ids, ryeford.EndpointID(id))
	}
	return ids
}

// read returns what the source answers a router now: the whole if its history is lost, since is
// zero or of another era.
func (s *modelState) read(since ryeford.Revision, lost bool) *Changes {
	update := &ryeford.EndpointUpdate{Revision: s.revision}
	if since == 0 || lost || since.Era() != s.revision.Era() {
		update.Snapshot, update.Present = true, endpoints(modelList(s.revision)...)
		c := FromSource(update, 0)
		return &c
	}
	for revision := since + 1; revision <= s.revision; revision++ {
		before, after := modelList(revision-1), modelList(revision)
		if slices.Equal(before, after) {
			continue
		}
		update.Changed = revision
		for _, id := range after {
			if !slices.Contains(before, id) {
				update.Present = append(update.Present, ryeford.Endpoint{ID: id})
			}
		}
		for _, id := range before {
			if !slices.Contains(after, id) {
				update.Removed = append(update.Removed, id)
			}
		}
	}
	c := FromSource(update, since)
	return &c
}

// next returns the states that may follow.
func (s *modelState) next() []*modelState {
	var states []*modelState
	step := func(change func(n *modelState)) {
		n := s.clone()
		change(n)
		states = append(states, n)
	}
	if s.revision.Number() < int64(len(modelLogs[s.revision.Era()])-1) {
		step(func(n *modelState) { n.revision++ })
	}
	if s.revision.Number() >= modelCopied && s.revision.Era() < s.lastEra {
		step(func(n *modelState) { n.revision = modelRevision(s.revision.Era()+1, modelCopied) })
	}
	for i := range s.routers {
		if s.routers[i].at.Known() {
			step(func(n *modelState) { n.routers[i] = New() })
		}
		if len(s.flight) == modelFlight {
			continue
		}
		for _, lost := range []bool{false, true} {
			step(func(n *modelState) {
				n.flight = append(n.flight, modelMessage{to: i, changes: n.read(n.routers[i].at.To, lost)})
			})
		}
		for j := range s.routers {
			if j != i && s.routers[j].at.Known() {
				step(func(n *modelState) {
					n.flight = append(n.flight, modelMessage{to: i, from: j, at: n.routers[j].at})
				})
			}
		}
	}
	for m := range s.flight {
		step(func(n *modelState) { n.flight = slices.Delete(n.flight, m, m+1) })                         // lost
		step(func(n *modelState) { n.deliver(n.flight[m]) })                                             // and once more later
		step(func(n *modelState) { n.deliver(n.flight[m]); n.flight = slices.Delete(n.flight, m, m+1) }) // delivered
	}
	return states
}

// deliver delivers a message. A router that learns that a peer has changes reads them from it.
func (s *modelState) deliver(m modelMessage) {
	r := s.routers[m.to]
	if m.changes != nil {
		r.Apply(m.changes)
		return
	}
	if r.Meet(m.at) == Newer && s.routers[m.from].at.Known() {
		c := s.routers[m.from].Since(r.at.To)
		r.Apply(&c)
	}
}

// check fails if a copy is not what the list was at each revision of its range: then a gap was
// applied, or a change was lost.
func (s *modelState) check(t *testing.T) {
	for _, r := range s.routers {
		for revision := r.at.From; r.at.Known() && revision <= r.at.To; revision++ {
			if !slices.Equal(r.listed(), modelList(revision)) {
				t.Fatalf("a copy of revisions %v has %v, the list %v at %d: %s", r.at, r.listed(), modelList(revision), revision, s.key())
			}
		}
	}
}

// checkConverges fails if a router that reads the source now, or a peer that has, is not as new as
// the source after it.
func (s *modelState) checkConverges(t *testing.T) {
	reader := s.clone()
	for i, r := range reader.routers {
		if r.Apply(reader.read(r.at.To, false)) != Applied || r.at.To != s.revision {
			t.Fatalf("%d reads the source in vain: %s", i, s.key())
		}
		follower := s.clone()
		for j, f := range follower.routers {
			c := r.Since(f.at.To)
			if f.Apply(&c) != Applied || !slices.Equal(f.listed(), modelList(s.revision)) {
				t.Fatalf("%d reads in vain from %d, which has read the source: %s", j, i, s.key())
			}
		}
	}
}

// walk walks all interleavings from a state on, and checks that each copy is what the list was at each
// revision of its range, that none goes back in a router's life, and that a read of the source or of a
// router that has read it brings any copy up to date.
func (s *modelState) walk(t *testing.T, maxStates int) {
	seen := map[string]bool{s.key(): true}
	states := []*modelState{s}
	steps := 0
	for ; len(seen) < maxStates; steps++ {
		var following []*modelState
		for _, s := range states {
			for _, n := range s.next() {
				key := n.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				n.check(t)
				n.checkConverges(t)
				for i, r := range n.routers {
					assert.Assert(t, r.at.To >= s.routers[i].at.To || !r.at.Known(), "went back")
				}
				following = append(following, n)
			}
		}
		states = following
	}
	t.Logf("%d states, all of %d steps", len(seen), steps)
}

// TestModel walks the interleavings of a fleet that starts.
func TestModel(t *testing.T) {
	first := &modelState{revision: 1}
	for i := range first.routers {
		first.routers[i] = New()
	}
	first.walk(t, maxModelStates)
}

// TestModelRestored walks those of a fleet whose source is restored from a copy, once and again: with
// routers that know more than the copy has, as much, or nothing, and reads and messages of the earlier
// era that come late.
func TestModelRestored(t *testing.T) {
	for _, number := range []int64{modelCopied, 3, 5} {
		first := &modelState{revision: modelRevision(0, number), lastEra: 2}
		for i := range first.routers {
			first.routers[i] = New()
		}
		for i, known := range []int64{number, modelCopied} { // the last one was not read yet
			whole := &modelState{revision: modelRevision(0, known)}
			first.routers[i].Apply(whole.read(0, false))
		}
		first.walk(t, maxRestoredStates)
	}
}

// These bound the memory and time of the tests: no further steps are walked once there are so many
// states.
const (
	maxModelStates    = 20_000
	maxRestoredStates = 10_000 // from each first state
)

// TestAge plays fleets whose routers take turns at reading, with messages that are lost or late and
// routers that stand still: no router that runs has an endpoint on its list for longer than the
// bound after it has left.
func TestAge(t *testing.T) {
	for seed := range uint64(40) {
		f := newAgeFleet(seed)
		f.play(t)
	}
}

// The fleet of TestAge, in simulated time.
const (
	ageStep   = 20 * time.Millisecond
	ageLength = 25 * time.Second
	ageBound  = 2 * time.Second
	ageGossip = 160 * time.Millisecond // between two messages of a router
)

// An ageRouter is a router of the fleet: its copy is as new as the source was at a time.
type ageRouter struct {
	confirmed   time.Duration // the source's clock
	frozenUntil time.Duration
	frozen      time.Duration // when it was last
}

// An ageFleet is a fleet whose copies are known by their ages alone.
type ageFleet struct {
	random  *rand.Rand
	limits  Limits
	routers []*ageRouter
	reads   int
	loss    float64 // part of the messages that are lost
}

func newAgeFleet(seed uint64) *ageFleet {
	random := rand.New(rand.NewPCG(seed, 2))
	f := &ageFleet{random: random, limits: NewLimits(ageBound, 0), loss: []float64{0, 0.3, 1}[seed%3]}
	for range 2 + random.IntN(30) {
		f.routers = append(f.routers, &ageRouter{})
	}
	return f
}

// rank returns the place of a router in the order of a shift, as package peers finds it.
func (f *ageFleet) rank(router int, shift time.Duration) int {
	score := func(i int) uint64 { return route.Mix(route.KeyHash(uint64(shift)), route.KeyHash(uint64(i))) }
	rank := 0
	for i := range f.routers {
		if score(i) > score(router) {
			rank++
		}
	}
	return rank
}

func (f *ageFleet) play(t *testing.T) {
	for now := time.Duration(0); now < ageLength; now += ageStep {
		for i, r := range f.routers {
			f.move(now, i, r)
			if now < r.frozenUntil || now-r.frozen < 3*ageStep {
				continue // it can't serve, or has just woken
			}
			age := now - r.confirmed
			assert.Assert(t, age <= ageBound*9/10, "router %d of %d, age %s at %s, loss %g", i, len(f.routers), age, now, f.loss)
		}
	}
	if f.loss == 0 {
		perSecond := float64(f.reads) / ageLength.Seconds()
		assert.Assert(t, perSecond < 5, "%d routers: %g reads a second", len(f.routers), perSecond)
	}
}

// move lets a router do what it does in a step.
func (f *ageFleet) move(now time.Duration, i int, r *ageRouter) {
	if now < r.frozenUntil {
		r.frozen = now
		return
	}
	if f.random.IntN(1500) == 0 {
		r.frozenUntil = now + time.Duration(f.random.IntN(4000))*time.Millisecond
		return
	}
	turn := f.limits.Turn(f.rank(i, r.confirmed/(4*time.Second)), len(f.routers)-1)
	age := now - r.confirmed
	// The first's read is held, and confirms once that is over.
	if age >= max(turn.Age, turn.Hold) {
		r.confirmed = now
		f.reads++
	}
	if (now/ageStep+time.Duration(i))%(ageGossip/ageStep) != 0 {
		return
	}
	for range 3 {
		peer := f.routers[f.random.IntN(len(f.routers))]
		if f.random.Float64() >= f.loss && now >= peer.frozenUntil {
			peer.confirmed = max(peer.confirmed, r.confirmed)
		}
	}
}
