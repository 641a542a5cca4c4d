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

// The model checker explores all interleavings of a small fleet: routers read the source, exchange the
// ranges of their copies and read from each other; messages are lost, delayed, duplicated or reordered;
// routers are suspended for any time and restart.
const (
	modelRouters = 3
	modelFlight  = 2 // messages in flight at once
)

// modelLogs are the contents of the list by era and revision of the source. Some revisions don't change
// the list. The second era continues from a backup of the first at the revision modelBackup, and the
// third from a backup of the second.
var modelLogs = [][]string{
	{1: "ab", 2: "ab", 3: "a", 4: "a", 5: "ac"},
	{1: "ab", 2: "ab", 3: "ab", 4: "b", 5: "bd"},
	{1: "ab", 2: "ab", 3: "b", 4: "b", 5: "be"},
}

// modelBackup is the number of the last revision in the backup.
const modelBackup = 2

// modelRevision returns the revision with a number in an era.
func modelRevision(era, number int64) ryeford.Revision {
	revision, err := ryeford.NewRevision(era, number)
	if err != nil {
		panic(err)
	}
	return revision
}

// A modelMessage is a message in flight to a router: the range of a peer's copy, or changes.
type modelMessage struct {
	to      int
	from    int // the peer whose copy has the range
	at      Range
	changes *Changes // nil if the message is a range
}

// A modelState is the state of the whole fleet.
type modelState struct {
	revision ryeford.Revision // of the source
	lastEra  int64            // the source is not restored beyond this era
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

// key returns a text that identifies the state.
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

// modelList returns the contents of the list at a revision.
func modelList(revision ryeford.Revision) []ryeford.EndpointID {
	var ids []ryeford.EndpointID
	for _, id := range modelLogs[revision.Era()][revision.Number()] {
		ids = append(ids, ryeford.EndpointID(id))
	}
	return ids
}

// read returns the source's response to a router: a snapshot if the history is lost, or if since is zero
// or of another era.
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
		update.NewestChange = revision
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

// next returns the possible next states.
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
	if s.revision.Number() >= modelBackup && s.revision.Era() < s.lastEra {
		step(func(n *modelState) { n.revision = modelRevision(s.revision.Era()+1, modelBackup) })
	}
	for i := range s.routers {
		if s.routers[i].at.IsSet() {
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
			if j != i && s.routers[j].at.IsSet() {
				step(func(n *modelState) {
					n.flight = append(n.flight, modelMessage{to: i, from: j, at: n.routers[j].at})
				})
			}
		}
	}
	for m := range s.flight {
		step(func(n *modelState) { n.flight = slices.Delete(n.flight, m, m+1) })                         // lost
		step(func(n *modelState) { n.deliver(n.flight[m]) })                                             // delivered, and a duplicate remains
		step(func(n *modelState) { n.deliver(n.flight[m]); n.flight = slices.Delete(n.flight, m, m+1) }) // delivered
	}
	return states
}

// deliver delivers a message. A router that is notified of a newer copy reads the changes from that peer.
func (s *modelState) deliver(m modelMessage) {
	r := s.routers[m.to]
	if m.changes != nil {
		r.Apply(m.changes)
		return
	}
	if r.MergeRange(m.at) == Newer && s.routers[m.from].at.IsSet() {
		c := s.routers[m.from].Since(r.at.To)
		r.Apply(&c)
	}
}

// check fails if a copy differs from the list at a revision of its range, because a change was lost or
// applied after a gap.
func (s *modelState) check(t *testing.T) {
	for _, r := range s.routers {
		for revision := r.at.From; r.at.IsSet() && revision <= r.at.To; revision++ {
			if !slices.Equal(r.listed(), modelList(revision)) {
				t.Fatalf("copy of revisions %v: got %v, want %v at revision %d: %s", r.at, r.listed(), modelList(revision), revision, s.key())
			}
		}
	}
}

// checkConverges fails if a router is not up to date after it has read the source, or a peer that has read
// the source.
func (s *modelState) checkConverges(t *testing.T) {
	reader := s.clone()
	for i, r := range reader.routers {
		if r.Apply(reader.read(r.at.To, false)) != Applied || r.at.To != s.revision {
			t.Fatalf("router %d is not up to date after a read of the source: %s", i, s.key())
		}
		follower := s.clone()
		for j, f := range follower.routers {
			c := r.Since(f.at.To)
			if f.Apply(&c) != Applied || !slices.Equal(f.listed(), modelList(s.revision)) {
				t.Fatalf("router %d is not up to date after a read from router %d, which has read the source: %s", j, i, s.key())
			}
		}
	}
}

// explore visits all interleavings from a state on. It checks each copy against the list at the revisions
// of its range, that no router's copy goes back until it restarts, and that a read of the source, or of
// a router that has read it, brings any copy up to date.
func (s *modelState) explore(t *testing.T, maxStates int) {
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
					assert.Assert(t, r.at.To >= s.routers[i].at.To || !r.at.IsSet(), "the copy went back to an older revision")
				}
				following = append(following, n)
			}
		}
		states = following
	}
	t.Logf("%d states, all those within %d steps", len(seen), steps)
}

// TestModel checks the interleavings of a starting fleet.
func TestModel(t *testing.T) {
	first := &modelState{revision: 1}
	for i := range first.routers {
		first.routers[i] = New()
	}
	first.explore(t, maxModelStates)
}

// TestModelRestored checks the interleavings of a fleet whose source is restored from a backup twice. The
// routers' copies are newer than the backup, as new, or empty, and messages of the earlier era arrive late.
func TestModelRestored(t *testing.T) {
	for _, number := range []int64{modelBackup, 3, 5} {
		first := &modelState{revision: modelRevision(0, number), lastEra: 2}
		for i := range first.routers {
			first.routers[i] = New()
		}
		for i, synced := range []int64{number, modelBackup} { // the last router has not read the list
			source := &modelState{revision: modelRevision(0, synced)}
			first.routers[i].Apply(source.read(0, false))
		}
		first.explore(t, maxRestoredStates)
	}
}

// The limits on the number of states bound the memory and time of the tests.
const (
	maxModelStates    = 20_000
	maxRestoredStates = 10_000 // from each first state
)

// TestAge simulates fleets with lost and delayed messages and suspended routers, and checks that the age
// of a running router's copy never exceeds the bound.
func TestAge(t *testing.T) {
	for seed := range uint64(40) {
		f := newAgeFleet(seed)
		f.simulate(t)
	}
}

// The parameters of TestAge, in simulated time.
const (
	ageStep   = 20 * time.Millisecond
	ageLength = 25 * time.Second
	ageBound  = 2 * time.Second
	ageGossip = 160 * time.Millisecond // interval between a router's messages
)

// An ageRouter is a router of which only the age of its copy is simulated.
type ageRouter struct {
	confirmed      time.Duration // on the source's clock
	suspendedUntil time.Duration
	suspended      time.Duration // when it was last suspended
}

// An ageFleet is a fleet of which only the ages of the copies are simulated.
type ageFleet struct {
	random  *rand.Rand
	limits  Limits
	routers []*ageRouter
	reads   int
	loss    float64 // fraction of the messages that are lost
}

func newAgeFleet(seed uint64) *ageFleet {
	random := rand.New(rand.NewPCG(seed, 2))
	f := &ageFleet{random: random, limits: NewLimits(ageBound, 0), loss: []float64{0, 0.3, 1}[seed%3]}
	for range 2 + random.IntN(30) {
		f.routers = append(f.routers, &ageRouter{})
	}
	return f
}

// rank returns the rank of a router in a time slot, as package peers determines it.
func (f *ageFleet) rank(router int, slot time.Duration) int {
	score := func(i int) uint64 { return route.Mix(route.KeyHash(uint64(slot)), route.KeyHash(uint64(i))) }
	rank := 0
	for i := range f.routers {
		if score(i) > score(router) {
			rank++
		}
	}
	return rank
}

func (f *ageFleet) simulate(t *testing.T) {
	for now := time.Duration(0); now < ageLength; now += ageStep {
		for i, r := range f.routers {
			f.step(now, i, r)
			if now < r.suspendedUntil || now-r.suspended < 3*ageStep {
				continue // it is suspended, or has just resumed
			}
			age := now - r.confirmed
			assert.Assert(t, age <= ageBound*9/10, "router %d of %d, age %s at %s, loss %g", i, len(f.routers), age, now, f.loss)
		}
	}
	if f.loss == 0 {
		perSecond := float64(f.reads) / ageLength.Seconds()
		assert.Assert(t, perSecond < 5, "%d routers: %g reads per second", len(f.routers), perSecond)
	}
}

// step simulates one step of a router.
func (f *ageFleet) step(now time.Duration, i int, r *ageRouter) {
	if now < r.suspendedUntil {
		r.suspended = now
		return
	}
	if f.random.IntN(1500) == 0 {
		r.suspendedUntil = now + time.Duration(f.random.IntN(4000))*time.Millisecond
		return
	}
	scheduled := f.limits.Schedule(f.rank(i, r.confirmed/(4*time.Second)), len(f.routers)-1)
	age := now - r.confirmed
	// The first router's read is held, and confirms the copy when it ends.
	if age >= max(scheduled.Age, scheduled.Hold) {
		r.confirmed = now
		f.reads++
	}
	if (now/ageStep+time.Duration(i))%(ageGossip/ageStep) != 0 {
		return
	}
	for range 3 {
		peer := f.routers[f.random.IntN(len(f.routers))]
		if f.random.Float64() >= f.loss && now >= peer.suspendedUntil {
			peer.confirmed = max(peer.confirmed, r.confirmed)
		}
	}
}
