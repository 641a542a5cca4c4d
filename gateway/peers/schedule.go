package peers

import (
	"math"
	"time"
)

// What gossip sends, to how many, and within which budget.
//
// Rule: every Interval a router sends one message to at most Fanout peers drawn at random,
// and a brief one to as many others, or to fewer if more would exceed its budgets of bytes
// a second. A message names peers that are alive.
//
// The reasons are in docs/decisions.md, Gossip.

const (
	// Interval is the time between two rounds of messages.
	Interval = 75 * time.Millisecond
	// Fanout is how many peers a message is sent to at most. Set with Interval.
	Fanout = 8
	// BytesPerSecond bounds outgoing gossip; the incoming rate is the same on
	// average. Both ways together make 10 KB/s of control traffic a node.
	BytesPerSecond = 5000
	// briefShare is the part of that for brief messages in a fleet of which a router doesn't
	// hear enough that messages hold all loads: word of what is new then spreads three times as
	// fast for half of the bytes.
	briefShare = 0.5
	// MaxPrompts is how many prompts a message holds; more are dropped.
	MaxPrompts = 6
	// MaxPromptParts is how many parts the prompts of a message have together, of up to 9
	// bytes each: callers may send prompts of any number.
	MaxPromptParts = 96
	// MaxMessage is the largest message that is read, in bytes.
	MaxMessage = 16 << 10

	// MaxMembers is how many peers a message names.
	MaxMembers = 8
	// MaxDemands is of how many prompts a message holds the requests under way.
	MaxDemands = 16
	// MaxHighReports is how many reports of endpoints with a high load a message holds.
	MaxHighReports = 24
	// MaxOtherReports is how many reports of other endpoints it holds.
	MaxOtherReports = 8
	// MaxBriefReports is how many reports of endpoints with a high load a brief message holds.
	MaxBriefReports = 8
	// minComplete is the part of the peers of which a router must hear within loadTTL so
	// that messages hold the loads of all endpoints: of a smaller part, the endpoints' own
	// reports tell more for the bytes.
	minComplete = 0.25
	// datagramHeader is what the IPv4 and UDP headers of a datagram take, in bytes.
	datagramHeader = 28

	// LookupInterval is how often a router looks at whether it must look up its
	// peers.
	LookupInterval = time.Second
	// seedPatience is how long after its start a router expects peers that it was given to answer.
	seedPatience = time.Second
	// lookupShiftLength is how long one router is the first to register.
	lookupShiftLength = 32 * time.Second
	// RegisterSpread is within what time routers that start together look up their peers: most
	// then find enough entries.
	RegisterSpread = 500 * time.Millisecond
	// enoughEntries is how many routers' entries are enough for one that starts.
	enoughEntries = 8
	// registerInterval is the age at which a router's own entry in the platform's
	// list of routers is written anew.
	registerInterval = 10 * time.Minute
)

// A Lookup is what decides whether a router registers itself with the platform and looks up its
// peers there. Times are since the router started, and since it registered last.
type Lookup struct {
	Running    time.Duration
	Seeded     bool // it was given addresses of peers at its start
	Registered bool // it has registered
	Since      time.Duration
	Heard      bool // a message came from any peer lately
	First      bool // it is the first in the shift of LookupShift
}

// Due reports whether it does: while it receives nothing of peers, but not before those that it was given had
// the time to answer; and if its entry is missing or old and it is its turn, so that the
// platform's list has some of the routers and parts of the fleet that have lost each other
// find each other there. Without addresses of peers it registers at its start.
func (l *Lookup) Due() bool {
	switch {
	case !l.Heard:
		return !l.Seeded || l.Running >= seedPatience
	case l.Registered && l.Since <= registerInterval:
		return false
	}
	return !l.Seeded || l.First
}

// EnoughEntries returns how many other routers' entries are enough in the platform's list for a
// router not to add its own, given whether it has looked there before: then those have not
// answered, or it is its turn.
func EnoughEntries(tried bool) int {
	if tried {
		return math.MaxInt
	}
	return enoughEntries
}

// LookupShift returns the shift, in which one router is the first to register, given the time
// since an epoch that is about the same for all routers.
func LookupShift(since time.Duration) uint64 { return uint64(since / lookupShiftLength) }
