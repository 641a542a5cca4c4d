package replica

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUntilRead checks when a starting router stops waiting for peers.
func TestUntilRead(t *testing.T) {
	found := Start{HasPeers: true, LookedUp: true, Peers: 8, Drawn: 1}
	changed := func(change func(s *Start)) Start {
		s := found
		change(&s)
		return s
	}
	for _, test := range []struct {
		name string
		s    Start
		want time.Duration
	}{
		{"no peers configured", Start{}, 0},
		{"not looked up yet", Start{HasPeers: true}, lookupTimeout},
		{"the look-up takes too long", Start{HasPeers: true, Running: lookupTimeout}, 0},
		{"no others", Start{HasPeers: true, LookedUp: true}, 0},
		{"the last of few", found, peerReplyTime + 8*pausePerRouter},
		{"the first of few", changed(func(s *Start) { s.Drawn = 0 }), peerReplyTime},
		{"looked up some time ago", changed(func(s *Start) { s.SinceLookup = peerReplyTime }), 8 * pausePerRouter},
		{"the last of many", changed(func(s *Start) { s.Peers = 719 }), peerReplyTime + maxStartDelay},
		{"a request waits", changed(func(s *Start) { s.Requested = true }), 0},
		{"a request waits before the look-up", Start{HasPeers: true, Requested: true}, 0},
	} {
		assert.Equal(t, test.s.UntilRead(), test.want, test.name)
	}
}

const (
	coldStartStep     = time.Millisecond
	coldStartExists   = 800 * time.Millisecond // when the source has its first copy
	coldStartEnd      = 5 * time.Second
	coldStartWrite    = 25 * time.Millisecond // until others find an entry in the list of routers
	coldStartReread   = 400 * time.Millisecond
	coldStartMessages = 16.0 // messages that each router sends per second
	coldStartEnough   = 8    // entries of others at which a router adds none
)

// A coldStart is the result of starting a whole fleet at once before the source has a copy.
type coldStart struct {
	reads   int // of the source
	entries int // written to the list of routers
	all     time.Duration
}

// startFleet plays a cold start. Gossip spreads exponentially, so that the number of live peers and the share of
// routers that have the copy grow to half after a time that is proportional to the logarithm of the fleet.
func startFleet(routers int, lookups time.Duration, seed uint64) coldStart {
	random := rand.New(rand.NewPCG(seed, uint64(routers)))
	half := math.Log(float64(routers)) / coldStartMessages
	spread := func() time.Duration {
		u := random.Float64()
		return time.Duration(max(0, half+math.Log(u/(1-u))/coldStartMessages) * float64(time.Second))
	}
	type router struct {
		start    Start
		lookUpAt time.Duration
		readAt   time.Duration // earliest time of the next read
		copyAt   time.Duration // when a peer's copy arrives; zero if none has it
		has      bool
	}
	fleet := make([]router, routers)
	for i := range fleet {
		fleet[i].start = Start{HasPeers: true, Drawn: random.Float64()}
		fleet[i].lookUpAt = StartDelay(lookups, random.Float64())
	}
	var result coldStart
	var entries []time.Duration // when each entry is visible
	var first time.Duration     // when the first router looked up its peers
	for now := time.Duration(0); now < coldStartEnd; now += coldStartStep {
		alive := 0
		if first > 0 {
			alive = int(float64(routers-1) / (1 + math.Exp(coldStartMessages*(half-(now-first).Seconds()))))
		}
		for i := range fleet {
			r := &fleet[i]
			if !r.start.LookedUp && now >= r.lookUpAt {
				found := 0
				for _, visible := range entries {
					if visible <= now {
						found++
					}
				}
				if found < coldStartEnough {
					entries = append(entries, now+coldStartWrite)
				}
				r.start.LookedUp, r.start.Peers = true, found
				if first == 0 {
					first = now
				}
			}
			r.start.Running, r.start.SinceLookup = now, now-r.lookUpAt
			if r.start.Peers > 0 {
				r.start.Peers = max(r.start.Peers, alive)
			}
			if r.copyAt > 0 && now >= r.copyAt && !r.has {
				r.has, result.all = true, now
			}
			if r.has || now < r.readAt || r.start.UntilRead() > 0 {
				continue
			}
			result.reads++
			r.readAt = now + MaxPause(coldStartReread, alive)
			if now < coldStartExists {
				continue
			}
			r.has, result.all = true, now
			for j := range fleet {
				if at := now + spread(); fleet[j].copyAt == 0 || at < fleet[j].copyAt {
					fleet[j].copyAt = at
				}
			}
		}
	}
	result.entries = len(entries)
	return result
}

// TestColdStart replays the start of a whole fleet before its source has a copy. It guards against reads and
// entries whose number grows with the fleet, and against routers that get the copy late.
func TestColdStart(t *testing.T) {
	for _, routers := range []int{4, 60, 357, 720} {
		for seed := range uint64(3) {
			s := startFleet(routers, 200*time.Millisecond, seed)
			t.Logf("%3d routers: %d reads, %d entries, all have the copy %s after it exists", routers, s.reads, s.entries, s.all-coldStartExists)
			assert.Check(t, s.reads <= 40, "%d routers", routers)
			assert.Check(t, s.entries <= 40, "%d routers", routers)
			assert.Check(t, s.all > 0 && s.all-coldStartExists <= 2*time.Second, "%d routers", routers)
		}
	}
}
