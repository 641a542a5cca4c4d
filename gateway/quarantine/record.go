package quarantine

import (
	"slices"
	"time"
)

const (
	// crashesToHold is the number of successive crashes after which requests are held. A smaller number
	// would hold requests that only ran beside a poison request: of 156 such requests in 35 crashes one was
	// in two of them, and none in three.
	crashesToHold = 3
	// totalCrashesToHold and minSuccessiveCrashes are the alternative condition. They apply to a poison
	// request that is sent several times at once and so crashes several endpoints at once.
	totalCrashesToHold   = 5
	minSuccessiveCrashes = 2
	// MaxCrashes is the maximum number of crashes in a Record. It exceeds totalCrashesToHold, since
	// crashes may overlap, and those of two records are compared.
	MaxCrashes = 16
	// crashTTL is how long crashes count that have not led to a hold. holdTTL is how long requests stay
	// held after the hold or the last trial.
	crashTTL = time.Hour
	holdTTL  = 24 * time.Hour
	// successTTL is how long a success is recorded, so that late reports of earlier crashes are
	// ignored.
	successTTL = time.Minute
)

// A Crash records that an endpoint ended while it ran a request.
type Crash struct {
	Endpoint uint32    // the low half of route.NameHash of its ID
	Began    time.Time // start of the attempt
	Ended    time.Time // end of the endpoint
}

// anyAccount is the Account of a prompt part that crashed endpoints in requests of several client accounts.
const anyAccount = 0

// A Record holds the crashes, successes and trials of the requests with one fingerprint. Its times are on the
// monotonic clock.
type Record struct {
	Fingerprint Fingerprint
	// Account is the low half of route.NameHash of the client account whose requests crashed endpoints, or anyAccount.
	Account uint32
	Crashes []Crash // ordered by Ended
	// LastSuccess is the time of the last success, or zero. Attempts that began earlier don't count.
	LastSuccess time.Time
	// HeldSince is when the crashes sufficed to hold the requests, or zero if they don't. Other held records may explain
	// the crashes.
	HeldSince time.Time
	// Trials is the number of trials since HeldSince, and LastTrial is when the last one began.
	Trials    int
	LastTrial time.Time
}

// same reports whether c and other are the same crash of one endpoint. An endpoint may restart under its ID and
// crash again.
func (c Crash) same(other Crash) bool {
	overlap := c.Began.Before(other.Ended) && other.Began.Before(c.Ended)
	return c.Endpoint == other.Endpoint && (overlap || c.Ended.Sub(other.Ended).Abs() < timeTolerance)
}

// add adds a crash. It reports false if the crash is already recorded or precedes the last success.
func (r *Record) add(crash Crash) (added bool) {
	known := func(other Crash) bool { return crash.same(other) }
	if !crash.Began.After(r.LastSuccess) || slices.ContainsFunc(r.Crashes, known) {
		return false
	}
	r.Crashes = append(r.Crashes, crash)
	slices.SortStableFunc(r.Crashes, func(a, b Crash) int { return a.Ended.Compare(b.Ended) })
	r.hold()
	if len(r.Crashes) > MaxCrashes {
		// The first and the last crash are kept: all between them count as this record's, too.
		r.Crashes = slices.Delete(r.Crashes, MaxCrashes/2, MaxCrashes/2+1)
	}
	return true
}

// lastCrash returns when the last endpoint ended, or zero.
func (r *Record) lastCrash() time.Time {
	if len(r.Crashes) == 0 {
		return time.Time{}
	}
	return r.Crashes[len(r.Crashes)-1].Ended
}

// hold marks the requests as held if enough endpoints have crashed.
func (r *Record) hold() {
	if r.HeldSince.IsZero() && sufficient(r.Crashes) {
		r.HeldSince = r.Crashes[len(r.Crashes)-1].Ended
	}
}

// sufficient reports whether requests are held after crashes, which are ordered by Ended.
func sufficient(crashes []Crash) bool {
	n := countSuccessive(crashes)
	return n >= crashesToHold || n >= minSuccessiveCrashes && len(crashes) >= totalCrashesToHold
}

// countSuccessive returns the largest number of successive crashes among crashes, which are ordered by Ended.
// Taking the earliest possible crash each time yields the maximum.
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

// recordSuccess records a success. It removes the crashes and the hold that precede it, and reports whether
// anything changed.
func (r *Record) recordSuccess(at time.Time) bool {
	if !at.After(r.LastSuccess) {
		return false
	}
	r.LastSuccess = at
	before := len(r.Crashes)
	r.Crashes = slices.DeleteFunc(r.Crashes, func(crash Crash) bool { return !crash.Began.After(at) })
	if !r.HeldSince.After(at) || len(r.Crashes) < before && !sufficient(r.Crashes) {
		r.HeldSince, r.LastTrial, r.Trials = time.Time{}, time.Time{}, 0
	}
	return true
}

// refutes reports whether the last success clears one of the crashes of a peer's record, so that the peer doesn't know
// of the success.
func (r *Record) refutes(other *Record) bool {
	return slices.ContainsFunc(other.Crashes, func(crash Crash) bool { return !crash.Began.After(r.LastSuccess) })
}

// addAccount records that requests of an account crashed an endpoint, and reports whether the record changed.
func (r *Record) addAccount(account uint32) bool {
	switch {
	case !r.Fingerprint.IsPart() || r.Account == account:
		return false
	case len(r.Crashes) == 0 && r.HeldSince.IsZero():
		r.Account = account
	case r.Account == anyAccount:
		return false
	default:
		r.Account = anyAccount
	}
	return true
}

// merge adds a peer's record, and reports whether anything changed.
func (r *Record) merge(other *Record) (changed bool) {
	changed = !other.LastSuccess.IsZero() && r.mergeSuccess(other.LastSuccess)
	if len(other.Crashes) > 0 || !other.HeldSince.IsZero() {
		changed = r.addAccount(other.Account) || changed
	}
	for _, crash := range other.Crashes {
		changed = r.add(crash) || changed
	}
	if r.HeldSince.IsZero() && other.HeldSince.After(r.LastSuccess) && r.supported(other) {
		r.HeldSince, changed = other.HeldSince, true
	}
	if !r.HeldSince.IsZero() && other.Trials > r.Trials {
		r.Trials, r.LastTrial, changed = other.Trials, other.LastTrial, true
	}
	return changed
}

// supported reports whether a peer's hold may still stand: it has no crashes, because it was read from the store, or
// some that no success follows.
func (r *Record) supported(other *Record) bool { return len(other.Crashes) == 0 || len(r.Crashes) > 0 }

// timeTolerance is the maximum difference between the times of one event in several messages. Messages state
// ages in whole milliseconds, and their transmission times differ.
const timeTolerance = time.Second

// mergeSuccess is recordSuccess for a success from a peer's record, which may already be recorded.
func (r *Record) mergeSuccess(at time.Time) bool {
	precedes := func(crash Crash) bool { return !crash.Began.After(at) }
	known := !r.LastSuccess.IsZero() && at.Sub(r.LastSuccess) < timeTolerance
	if known && !slices.ContainsFunc(r.Crashes, precedes) {
		return false
	}
	return r.recordSuccess(at)
}

// expires returns when the record can be removed unless it changes.
func (r *Record) expires() time.Time {
	last := r.LastSuccess.Add(successTTL)
	if n := len(r.Crashes); n > 0 {
		last = later(last, r.Crashes[n-1].Ended.Add(crashTTL))
	}
	if !r.HeldSince.IsZero() {
		last = later(last, later(r.HeldSince, r.LastTrial).Add(holdTTL))
	}
	return last
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
