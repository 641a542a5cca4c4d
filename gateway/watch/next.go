package watch

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ryeford/ryeford"
)

// What follows which answer of a source.
//
// Rule, by the verdict on the answer:
//
//	current      apply it, then ask for changes after its revision; pause for
//	             Settle first if it holds a change
//	stale        ignore it: it is older than what is known and confirms nothing;
//	             ask again as after a failure
//	historyLost  read the whole at once
//	failed       ask the same again after a pause that doubles with each failure
//	             in a row, and with no wait until the source answers:
//	             that it is back is to be noticed at once

// A outcome says what an answer of a source is good for.
type outcome int

const (
	current     outcome = iota // as new as what is known, or newer
	stale                      // older than what is known
	historyLost                // the source no longer has the changes since a revision
	failed                     // the source did not answer
)

// classify returns the verdict on an answer: its revision, or its error, given the
// newest revision that is known. The returned revision is the one to go on from.
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

// A poll is one read of a source: of the whole, or of what has changed.
type poll struct {
	full        bool             // read the whole; else, ask for changes since revision
	historyLost bool             // the source no longer has the changes since what is known
	revision    ryeford.Revision // the newest that is known
	failures    int              // in a row, before this poll
	// maxWait is how long the source may wait for a change before it answers, unless it failed
	// before.
	maxWait time.Duration
}

// wait returns how long the source may wait for a change before it answers.
func (p poll) wait() time.Duration {
	if p.failures > 0 || p.full {
		return 0
	}
	return p.maxWait
}

// downSince returns since when the source may have been away if p failed.
//
// A source that ends a poll before its wait is over was there until then; one that
// lets it time out may have been away ever since the poll was sent.
func (p poll) downSince(sent, failed time.Time) time.Time {
	if failed.Sub(sent) < p.wait() {
		return failed
	}
	return sent
}

// advance returns the poll that follows p and the verdict on its answer.
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

// pause returns the pause between an answer and the poll p that follows.
func (p poll) pause(result outcome, changed bool, options *Options) time.Duration {
	switch {
	case result == current && changed:
		return options.Settle
	case result == stale, result == failed:
		return jitter(backoff(p.failures, options))
	}
	return 0
}

// backoff returns the longest pause after some failures in a row: MinPause, doubled
// with each failure after the first, up to MaxPause.
func backoff(failures int, options *Options) time.Duration {
	const maxDoublings = 16 // keeps the shift from overflowing
	doublings := failures - 1
	longest := options.MaxPause()
	if doublings >= maxDoublings {
		return longest
	}
	return min(longest, options.MinPause<<doublings)
}

// jitter returns a time drawn between a half and the whole of d, so that routers
// that lost a source together do not come back to it at once.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}
