package watch

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ryeford/ryeford"
)

// The next poll after each kind of response.
//
// Rule, by the outcome of the poll:
//
//	current      apply the update, then ask for changes after its revision;
//	             pause for SettleDelay first if it contains a change
//	stale        ignore the update, which is older than the known revision and
//	             confirms nothing; ask again as after a failure
//	historyLost  read the full list immediately
//	failed       repeat the poll after a pause that doubles with each failure in
//	             a row, and without a wait for changes until the source
//	             responds, so that its return is noticed immediately

// An outcome is the kind of response that a source gave to a poll.
type outcome int

const (
	current     outcome = iota // as new as the known revision, or newer
	stale                      // older than the known revision
	historyLost                // the source no longer has the changes since the revision
	failed                     // the source did not respond
)

// classify returns the outcome of a poll from the revision of the response or its error, and the revision to
// continue from. known is the newest known revision.
func classify(known, answered ryeford.Revision, err error) (outcome, ryeford.Revision) {
	var lost *ryeford.HistoryLostError
	switch {
	case errors.As(err, &lost):
		return historyLost, 0
	case err != nil:
		return failed, known
	case answered < known:
		return stale, known
	}
	return current, answered
}

// A poll is one read of a source: of the full list, or of changes.
type poll struct {
	full        bool             // read the full list instead of the changes since revision
	historyLost bool             // the source no longer has the changes since the known revision
	revision    ryeford.Revision // the newest known revision
	failures    int              // number in a row before this poll
	// maxWait is how long the source may wait for a change before it responds. It does not apply after
	// a failure.
	maxWait time.Duration
}

// wait returns how long the source may wait for a change before it responds.
func (p poll) wait() time.Duration {
	if p.failures > 0 || p.full {
		return 0
	}
	return p.maxWait
}

// downSince returns when the outage of the source began at the earliest, if p failed.
//
// If the poll failed before its wait was over, the source was up until then. If it timed out, the source may have
// been down since the poll was sent.
func (p poll) downSince(sent, failed time.Time) time.Time {
	if failed.Sub(sent) < p.wait() {
		return failed
	}
	return sent
}

// advance returns the poll that follows p and its outcome.
func (p poll) advance(result outcome, revision ryeford.Revision) poll {
	next := poll{full: p.full, historyLost: p.historyLost, revision: revision}
	switch result {
	case current:
		next.full, next.historyLost = false, false
	case historyLost:
		next.full, next.historyLost = true, true
		next.failures = p.failures
	case failed, stale:
		next.failures = p.failures + 1
	}
	return next
}

// pause returns the pause between a response with the given result and the poll p that follows it.
func (p poll) pause(result outcome, changed bool, options *Options) time.Duration {
	switch {
	case result == current && changed:
		return options.SettleDelay
	case result == stale, result == failed:
		return jitter(backoff(p.failures, options))
	}
	return 0
}

// backoff returns the maximum pause after a number of failures in a row: MinPause, doubled with each failure after
// the first, up to MaxPause.
func backoff(failures int, options *Options) time.Duration {
	const maxDoublings = 16 // prevents an overflow of the shift
	doublings := failures - 1
	longest := options.MaxPause()
	if doublings >= maxDoublings {
		return longest
	}
	return min(longest, options.MinPause<<doublings)
}

// jitter returns a random duration between d/2 and d, so that routers don't return to a source all at once after
// an outage.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}
