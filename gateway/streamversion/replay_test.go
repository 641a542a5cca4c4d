package streamversion

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

// The replays play a fleet of routers in a release: three software versions, lists that lag, datagrams that are lost,
// routers that are killed or cut off from the list, and callers who take streams up at any router.

const (
	replayLoss     = 0.03 // share of lost datagrams
	replayService  = "s"
	replayDuration = 40 * time.Second
	// replayLag is the maximum age of a list at a router that is in touch.
	replayLag = 1600 * time.Millisecond
	// replayStreams is the number of new streams per second and router.
	replayStreams = 2.0
	// replayGoOn is the aim: the share of the streams that go on where an endpoint of their version is listed.
	replayGoOn = 0.9
)

// A listing is when a version has endpoints.
type listing struct {
	version  ryeford.SoftwareVersion
	from, to time.Duration
}

// replayListings are a release of v2, amid which v3 follows, and a roll-back to v1.
var replayListings = []listing{
	{"v1", 0, 20 * time.Second},
	{"v2", 8 * time.Second, 30 * time.Second},
	{"v3", 14 * time.Second, time.Hour},
	{"v1", 26 * time.Second, time.Hour},
}

// listedAt returns the versions that have endpoints at a time since the start of the replay.
func listedAt(at time.Duration) []ryeford.SoftwareVersion {
	var versions []ryeford.SoftwareVersion
	for _, l := range replayListings {
		if at >= l.from && at < l.to {
			versions = append(versions, l.version)
		}
	}
	return versions
}

// A replayFleet is the routers of a replay and what is counted.
type replayFleet struct {
	t       *testing.T
	began   time.Time
	routers []*replayRouter

	mu      sync.Mutex
	random  *rand.Rand
	wrong   []string
	takenUp int // where an endpoint of the version is listed, at routers in touch
	wentOn  int
	bytes   int
	begun   int
	wait    time.Duration // of all first events for their records
	// unconfirmed is the number of streams that ended before their first event, because a peer may know another version.
	unconfirmed int
	rejected    int // of all that were taken up
	processes   int // that were started
}

// A replayRouter is one router, whose process may be replaced.
type replayRouter struct {
	fleet   *replayFleet
	address netip.AddrPort
	hash    uint64

	// The following fields are guarded by fleet.mu.
	tracker *Tracker // nil while the process is down
	history *History
	lag     time.Duration
	cutOff  time.Duration // time since the replay's start at which the router was cut off from the list, or zero
	started time.Time
	killed  time.Time // when the last process was killed, or zero
}

func newReplayFleet(t *testing.T, n int, seed uint64) *replayFleet {
	f := &replayFleet{t: t, began: time.Now(), random: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		f.routers = append(f.routers, &replayRouter{fleet: f, address: address, hash: route.NameHash(address.String())})
	}
	for _, r := range f.routers {
		r.start(true)
	}
	return f
}

// draw returns a random duration from low to high.
func (f *replayFleet) draw(low, high time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return low + time.Duration(f.random.Int64N(int64(high-low)))
}

// chance reports true with a probability.
func (f *replayFleet) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < p
}

// start starts a process of the router.
func (r *replayRouter) start(firstStart bool) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.fleet.processes++
	r.lag = time.Duration(r.fleet.random.Int64N(int64(replayLag)))
	r.started = time.Now()
	r.history = NewHistory(testLimits, firstStart)
	r.tracker = NewTracker(Options{
		Self: r.address, Limits: testLimits, History: r.history, Ranked: r.ranked, Send: r.send, Now: time.Now,
	})
}

// kill ends the router's process and starts another one after a second.
func (r *replayRouter) kill() {
	r.fleet.mu.Lock()
	r.tracker, r.killed = nil, time.Now()
	r.fleet.mu.Unlock()
	time.AfterFunc(time.Second, func() { r.start(false) })
}

// process returns the router's tracker and history, or nil while it is down.
func (r *replayRouter) process() (*Tracker, *History) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.tracker, r.history
}

// peerTTL returns how long a router that has ended counts as alive, as in package peers.
func (f *replayFleet) peerTTL() time.Duration {
	return 3*time.Second + time.Duration(len(f.routers))*50*time.Millisecond
}

// ranked returns the peers that this router takes for alive. Those that have ended count for a time, and those that have
// started a moment ago don't.
func (r *replayRouter) ranked(now time.Time, key uint64, n int) []netip.AddrPort {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	var alive []*replayRouter
	for _, peer := range f.routers {
		known := peer.tracker != nil && now.Sub(peer.started) > 300*time.Millisecond || !peer.killed.IsZero() && now.Sub(peer.killed) < f.peerTTL() || peer.killed.IsZero()
		if peer != r && known {
			alive = append(alive, peer)
		}
	}
	key = route.KeyHash(key)
	slices.SortFunc(alive, func(a, b *replayRouter) int {
		if route.Mix(key, a.hash) > route.Mix(key, b.hash) {
			return -1
		}
		return 1
	})
	var addresses []netip.AddrPort
	for _, peer := range alive[:min(n, len(alive))] {
		addresses = append(addresses, peer.address)
	}
	return addresses
}

// send delivers a datagram after a delay, or loses it. It is called with the lock of the sender's Tracker held.
func (r *replayRouter) send(to netip.AddrPort, datagram []byte) {
	f := r.fleet
	f.mu.Lock()
	f.bytes += len(datagram) + 28
	lost, delay := f.random.Float64() < replayLoss, 200*time.Microsecond+time.Duration(f.random.Int64N(int64(2*time.Millisecond)))
	f.mu.Unlock()
	if lost {
		return
	}
	content := slices.Clone(datagram)
	time.AfterFunc(delay, func() {
		i := slices.IndexFunc(f.routers, func(r *replayRouter) bool { return r.address == to })
		if tracker, _ := f.routers[i].process(); tracker != nil {
			assert.Assert(f.t, tracker.Receive(content))
		}
	})
}

// followList keeps the router's history up to date.
func (r *replayRouter) followList() {
	for since := time.Duration(0); since < replayDuration; since = time.Since(r.fleet.began) {
		r.fleet.mu.Lock()
		tracker, history, asOf := r.tracker, r.history, max(0, since-r.lag)
		if r.cutOff > 0 {
			asOf = min(asOf, r.cutOff)
		}
		r.fleet.mu.Unlock()
		if tracker != nil {
			history.List(time.Now(), listOf(listedAt(asOf)), true)
			history.Confirm(r.fleet.began.Add(asOf))
			tracker.Sweep(time.Now())
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// inTouch reports whether the router's list is recent.
func (r *replayRouter) inTouch() bool {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.tracker != nil && r.cutOff == 0 && time.Since(r.started) > 3*time.Second
}

// knownVersions returns the versions on the router's list.
func (r *replayRouter) knownVersions() []ryeford.SoftwareVersion {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	asOf := max(0, time.Since(r.fleet.began)-r.lag)
	if r.cutOff > 0 {
		asOf = min(asOf, r.cutOff)
	}
	return listedAt(asOf)
}

// pick returns a router, the first ones more often: callers are spread unevenly.
func (f *replayFleet) pick() *replayRouter {
	f.mu.Lock()
	defer f.mu.Unlock()
	share := f.random.Float64()
	return f.routers[int(share*share*float64(len(f.routers)))]
}

// playCaller plays one caller: it begins a stream and takes it up whenever it breaks.
func (f *replayFleet) playCaller(number int) {
	router := f.pick()
	tracker, history := router.process()
	versions := router.knownVersions()
	if tracker == nil {
		return
	}
	begins := history.NewStreams(time.Now(), replayService)
	versions = slices.DeleteFunc(versions, func(v ryeford.SoftwareVersion) bool { return !begins.Allows(v) })
	if len(versions) == 0 {
		return
	}
	f.mu.Lock()
	version := versions[f.random.IntN(len(versions))]
	other := versions[f.random.IntN(len(versions))]
	f.mu.Unlock()
	id := ryeford.RequestID(fmt.Sprintf("r%d", number))
	stream := tracker.New(id, replayService, "account")
	if f.chance(0.1) { // the first attempt fails before its first event
		stream.Sending(other)
		time.Sleep(f.draw(time.Millisecond, 50*time.Millisecond))
		if preferred, ok := stream.Preferred(); ok && f.chance(0.8) { // else it has no other endpoint
			version = preferred
		}
	}
	stream.Sending(version)
	time.Sleep(f.draw(15*time.Millisecond, 300*time.Millisecond))
	arrived := time.Now()
	err := stream.Begin(context.Background(), version)
	f.mu.Lock()
	f.begun++
	f.wait += time.Since(arrived)
	if err != nil {
		f.unconfirmed++
	}
	f.mu.Unlock()
	if now, _ := router.process(); err != nil || now != tracker {
		return // the caller has no event, and would begin anew
	}
	// An endpoint that has gone doesn't begin a stream.
	if !slices.Contains(listedAt(time.Since(f.began)), version) {
		stream.End()
		return
	}
	for try := range 3 {
		time.Sleep(f.draw(50*time.Millisecond, 3*time.Second))
		if now, _ := router.process(); now == tracker {
			stream.End()
			if !f.chance(0.3) {
				return // the stream has ended whole
			}
		}
		time.Sleep(f.draw(10*time.Millisecond, 300*time.Millisecond))
		router = f.pick()
		if tracker, _ = router.process(); tracker == nil {
			return
		}
		stream = tracker.New(ryeford.RequestID(fmt.Sprintf("r%d-%d", number, try)), replayService, "account")
		origin := stream.Resume(context.Background(), id, "account")
		if !f.judge(router, id, version, origin) {
			return
		}
	}
}

// judge counts a stream that was taken up, and reports whether it goes on.
func (f *replayFleet) judge(router *replayRouter, id ryeford.RequestID, version ryeford.SoftwareVersion, origin Origin) bool {
	listed := slices.Contains(router.knownVersions(), version) && slices.Contains(listedAt(time.Since(f.began)), version)
	inTouch := router.inTouch()
	f.mu.Lock()
	defer f.mu.Unlock()
	goesOn := listed && origin.Software.Same(version)
	if origin.Software.Known() && origin.Software != version {
		f.wrong = append(f.wrong, fmt.Sprintf("%s began at %s, continued at %s by %+v at %v", id, version, origin.Software, origin, time.Since(f.began)))
	}
	if listed && inTouch {
		f.takenUp++
		if goesOn {
			f.wentOn++
		}
	}
	if !goesOn {
		f.rejected++
	}
	return goesOn
}

// playTrouble kills routers one by one and a third of them at once, and cuts some off.
func (f *replayFleet) playTrouble() {
	killThird := func() {
		for i, r := range f.routers {
			if i%3 == 0 {
				r.kill()
			}
		}
	}
	cut := f.routers[len(f.routers)-1]
	for _, step := range []struct {
		at time.Duration
		do func()
	}{
		{5 * time.Second, f.routers[0].kill},
		{11 * time.Second, func() { cut.setCutOff(11 * time.Second) }},
		{16 * time.Second, killThird},
		{22 * time.Second, func() { cut.setCutOff(0) }},
		{23 * time.Second, f.routers[1].kill},
		{28 * time.Second, killThird},
	} {
		time.Sleep(step.at - time.Since(f.began))
		step.do()
	}
}

// setCutOff cuts the router off from the list, or reconnects it if at is zero.
func (r *replayRouter) setCutOff(at time.Duration) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.cutOff = at
}

// TestReplay guards against streams at a wrong version, and against streams that are rejected though an endpoint of
// their version serves, in fleets of all sizes.
func TestReplay(t *testing.T) {
	for _, n := range []int{4, 25, 100, 357} {
		for seed := range uint64(3) {
			if n > 25 && seed > 0 {
				continue
			}
			t.Run(fmt.Sprintf("%d/%d", n, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playReplay(t, n, seed) })
			})
		}
	}
}

func playReplay(t *testing.T, n int, seed uint64) {
	f := newReplayFleet(t, n, seed)
	for _, r := range f.routers {
		go r.followList()
	}
	synctest.Wait()
	go f.playTrouble()
	callers := int(replayStreams * float64(n) * (replayDuration - 5*time.Second).Seconds())
	callers = max(callers, 2000)
	pause := (replayDuration - 5*time.Second) / time.Duration(callers)
	for i := range callers {
		go f.playCaller(i)
		time.Sleep(pause)
	}
	time.Sleep(12 * time.Second)
	synctest.Wait()
	share := float64(f.wentOn) / float64(f.takenUp)
	t.Logf("taken up %d, went on %.3f, rejected of all %d, %.0f B/s a router, mean wait of %d first events %v, unconfirmed %d", f.takenUp, share, f.rejected,
		float64(f.bytes)/float64(n)/replayDuration.Seconds(), f.begun, f.wait/time.Duration(f.begun), f.unconfirmed)
	assert.Equal(t, len(f.wrong), 0, "%v", f.wrong)
	assert.Assert(t, f.takenUp > 100)
	assert.Assert(t, share >= replayGoOn, "%.3f", share)
	assert.Assert(t, f.wait/time.Duration(f.begun) < time.Millisecond)
}
