package quarantine

import (
	"slices"
	"time"
)

const (
	// crashesToHold is how many endpoints must have ended, one after the other. With two, one of
	// 156 bystanders would have been held on a day on which 35 endpoints ended; with three, none.
	crashesToHold = 3
	// totalCrashesToHold is how many must have ended if only fewCrashes followed each other: a request that comes
	// several times at once ends as many endpoints at once.
	totalCrashesToHold   = 5
	minSuccessiveCrashes = 2
	// MaxCrashes is how many ends a Record keeps at most: some overlap, and don't count each.
	MaxCrashes = 8
	// trialDelay is how long after it was held a request is tried again, and trialFactor how many
	// times longer after each trial that has not ended well. An engine that is mended is rolled out in
	// minutes at the least; each trial of one that is not costs an engine and its streams.
	trialDelay       = 10 * time.Minute
	trialDelayFactor = 6
	// maxTrials is how often a request is tried again in all: together with an attempt that is under way
	// as it is held, at most three endpoints end after that.
	maxTrials = 2
	// crashTTL is for how long ends count that have not led to a hold, and holdTTL for how long
	// a request is held that did not come again.
	crashTTL = time.Hour
	holdTTL  = 24 * time.Hour
	// answeredTTL is for how long a success is remembered, so that late word of earlier ends has no
	// effect.
	answeredTTL = time.Minute
)

// A Crash is an endpoint that ended while it ran a request.
type Crash struct {
	Endpoint uint32    // the low half of route.NameHash of its ID
	Began    time.Time // the attempt
	Ended    time.Time // the endpoint
}

// A Record is what is known of the requests with one fingerprint. Times are of the steady clock.
type Record struct {
	Fingerprint Fingerprint
	Account     uint32  // the low half of route.NameHash of the client account
	Crashes     []Crash // by Ended
	// Answered is when one was last answered; zero if none was. Earlier attempts don't count.
	Answered time.Time
	// Held is since when they are held; zero if they are not.
	Held time.Time
	// Trials counts the trials since then, and Tried is when the last one began.
	Trials int
	Tried  time.Time
}

// same reports whether two records are of one end: an endpoint may be back under its ID and end
// again.
func (c Crash) same(other Crash) bool {
	overlap := c.Began.Before(other.Ended) && other.Began.Before(c.Ended)
	return c.Endpoint == other.Endpoint && (overlap || c.Ended.Sub(other.Ended).Abs() < timeTolerance)
}

// add adds an end, unless it is known or doesn't count.
func (r *Record) add(crash Crash) (added bool) {
	known := func(other Crash) bool { return crash.same(other) }
	if !crash.Began.After(r.Answered) || slices.ContainsFunc(r.Crashes, known) {
		return false
	}
	r.Crashes = append(r.Crashes, crash)
	slices.SortStableFunc(r.Crashes, func(a, b Crash) int { return a.Ended.Compare(b.Ended) })
	r.hold()
	if len(r.Crashes) > MaxCrashes {
		r.Crashes = slices.Delete(r.Crashes, 0, 1)
	}
	return true
}

// hold holds the requests if enough endpoints have ended.
func (r *Record) hold() {
	n := countSuccessive(r.Crashes)
	if r.Held.IsZero() && (n >= crashesToHold || n >= minSuccessiveCrashes && len(r.Crashes) >= totalCrashesToHold) {
		r.Held = r.Crashes[len(r.Crashes)-1].Ended
	}
}

// countSuccessive returns the most ends, ordered by their time, of which each attempt began after the end
// before. To take the earliest end that fits each time gives the most.
func countSuccessive(crashes []Crash) int {
	count, ended := 0, time.Time{}
	for _, crash := range crashes {
		if crash.Began.Before(ended) {
			continue
		}
		count, ended = count+1, crash.Ended
	}
	return count
}

// recordAnswer forgets what was known before a success at a time, and reports whether that changed
// anything.
func (r *Record) recordAnswer(at time.Time) bool {
	if !at.After(r.Answered) {
		return false
	}
	r.Answered = at
	r.Crashes = slices.DeleteFunc(r.Crashes, func(crash Crash) bool { return !crash.Began.After(at) })
	if !r.Held.After(at) {
		r.Held, r.Tried, r.Trials = time.Time{}, time.Time{}, 0
	}
	return true
}

// merge adds what a peer knows, and reports whether it was news.
func (r *Record) merge(other *Record) (changed bool) {
	changed = !other.Answered.IsZero() && r.mergeAnswer(other.Answered)
	for _, crash := range other.Crashes {
		changed = r.add(crash) || changed
	}
	if r.Held.IsZero() && other.Held.After(r.Answered) {
		r.Held, changed = other.Held, true
	}
	if !r.Held.IsZero() && other.Trials > r.Trials {
		r.Trials, r.Tried, changed = other.Trials, other.Tried, true
	}
	return changed
}

// timeTolerance is by how much the times of one event may differ that come by several messages, each as
// an age of whole milliseconds and some time under way.
const timeTolerance = time.Second

// mergeAnswer is answer for a success that a peer knows of: it may be known already.
func (r *Record) mergeAnswer(at time.Time) bool {
	if !r.Answered.IsZero() && at.Sub(r.Answered) < timeTolerance {
		return false
	}
	return r.recordAnswer(at)
}

// trialDue returns when the next attempt of a held request may be made, and false if there is none.
func (r *Record) trialDue() (time.Time, bool) {
	if r.Trials >= maxTrials {
		return time.Time{}, false
	}
	since, wait := r.Held, trialDelay
	for range r.Trials {
		since, wait = r.Tried, wait*trialDelayFactor
	}
	return since.Add(wait), true
}

// expires returns when a record is of no use any more, if nothing more is heard.
func (r *Record) expires() time.Time {
	last := r.Answered.Add(answeredTTL)
	if n := len(r.Crashes); n > 0 {
		last = later(last, r.Crashes[n-1].Ended.Add(crashTTL))
	}
	if !r.Held.IsZero() {
		last = later(last, later(r.Held, r.Tried).Add(holdTTL))
	}
	return last
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
