package peers

import (
	"math"
	"time"
)

// What gossip sends, to how many peers, and within which budget.
//
// Rule: every Interval a router sends a full message to at most Fanout peers, drawn at random, and
// a brief one to at most Fanout others. It sends fewer if its budgets of bytes per second require
// it. A message names live peers.
//
// The reasons are in docs/decisions.md, Gossip.

const (
	// Interval is the time between two rounds of messages.
	Interval = 75 * time.Millisecond
	// Fanout is the maximum number of peers that a message is sent to.
	Fanout = 8
	// BytesPerSecond limits outgoing gossip. The incoming rate is the same on average,
	// so that a router has 10 KB/s of control traffic.
	BytesPerSecond = 5000
	// briefShare is the share of BytesPerSecond for brief messages in a fleet that is too large
	// for complete loads. They spread confirmations three
	// times as fast for half of the bytes.
	briefShare = 0.5
	// MaxPrompts is the maximum number of prompts in a message. Further ones are dropped.
	MaxPrompts = 6
	// MaxPromptParts is the maximum number of parts of all prompts in a message, of up to 9 bytes
	// each. Callers may send prompts with any number of parts.
	MaxPromptParts = 96
	// MaxMessage is the maximum size of a received message, in bytes.
	MaxMessage = 16 << 10

	// MaxMembers is the maximum number of peers that a message names.
	MaxMembers = 8
	// MaxDemands is the maximum number of prompts whose requests in flight a message holds.
	MaxDemands = 16
	// MaxHighReports is the maximum number of reports of highly loaded endpoints in a message.
	MaxHighReports = 24
	// MaxOtherReports is the maximum number of reports of other endpoints in a message.
	MaxOtherReports = 8
	// MaxBriefReports is the maximum number of reports of highly loaded endpoints in a brief
	// message.
	MaxBriefReports = 8
	// minReceivedFraction is the fraction of the peers from which a router must receive a message
	// within loadTTL for messages to contain the loads of all endpoints. Below it, the endpoints'
	// load reports are the better use of the bytes.
	minReceivedFraction = 0.25
	// datagramHeader is the size of the IPv4 and UDP headers of a datagram, in bytes.
	datagramHeader = 28

	// LookupInterval is how often a router checks whether it must look up its peers.
	LookupInterval = time.Second
	// seedTimeout is how long after its start a router waits for a message from its configured
	// peers.
	seedTimeout = time.Second
	// lookupSlotDuration is how long one router is the first to register.
	lookupSlotDuration = 32 * time.Second
	// RegisterSpread is the period over which routers that start together spread their lookups,
	// so that most find enough entries.
	RegisterSpread = 200 * time.Millisecond
	// enoughEntries is the number of entries of other routers at which a starting router does not
	// add its own.
	enoughEntries = 8
	// registerInterval is the age at which a router renews its entry in the platform's list of
	// routers.
	registerInterval = 10 * time.Minute
)

// A Lookup decides whether a router registers with the platform and looks up its peers there.
type Lookup struct {
	Running           time.Duration // since the router's start
	Seeded            bool          // addresses of peers were configured
	Registered        bool
	SinceRegistration time.Duration // since the last registration
	ReceivedRecently  bool          // a message was received recently
	FirstInSlot       bool          // the router is the first in the time slot of LookupTimeSlot
}

// Due reports whether a registration and lookup is due. For a router that receives no messages it is
// due immediately, or, with configured peers, seedTimeout after its start. For other routers it is due if
// their entry is missing or older than registerInterval; with configured peers only for the first
// router of the time slot. The platform's list thus always holds some routers, through which the
// parts of a partitioned fleet find each other.
func (l *Lookup) Due() bool {
	switch {
	case !l.ReceivedRecently:
		return !l.Seeded || l.Running >= seedTimeout
	case l.Registered && l.SinceRegistration <= registerInterval:
		return false
	}
	return !l.Seeded || l.FirstInSlot
}

// EnoughEntries returns the number of other routers' entries in the platform's list at which a
// router does not add its own. tried reports whether the router has looked there before: then it
// always registers, because those routers did not answer or it is its time slot.
func EnoughEntries(tried bool) int {
	if tried {
		return math.MaxInt
	}
	return enoughEntries
}

// LookupTimeSlot returns the number of the time slot in which one router is the first to register.
// since is the time since an epoch that is about the same for all routers.
func LookupTimeSlot(since time.Duration) uint64 { return uint64(since / lookupSlotDuration) }
