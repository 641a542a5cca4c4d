// Package watch follows the list of endpoints, which can be read whole and then asked,
// with a wait, for what has changed since.
//
// It owns the newest revision that the list's source has answered. What is polled next, and
// when, depends on the last answer (next.go); the package relies on the source to
// return once the wait is over.
package watch

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/clock"
)

// Options are how a source is followed.
type Options struct {
	// Turn returns in how long a poll is due, now if that is zero, and how long the source
	// waits for a change before it answers that. It is asked again before the poll.
	Turn func(now time.Time) (in, maxWait time.Duration)
	// Known returns the newest revision that is known, also from elsewhere than the source,
	// or zero if none is: then the whole is read.
	Known func() ryeford.Revision
	// Settle is the pause after an answer that holds a change, so that changes in
	// a row come in one answer.
	Settle time.Duration
	// MinPause is the pause after a first failure, before jitter takes off up to half
	// of it; it doubles with each failure in a row up to MaxPause. It is also the pause
	// after a stale answer.
	MinPause time.Duration
	MaxPause func() time.Duration
	// Sent is called before each poll, and Failed after each that failed, with when it was sent.
	Sent   func(full bool)
	Failed func(sent time.Time)
}

// MaxSleep is how long a watch waits at the most before it asks anew whether a poll is due: what
// is known from elsewhere may make it due sooner.
const MaxSleep = 50 * time.Millisecond

// Run follows a source until ctx ends. apply takes an answer, the revision since which it was
// asked for and when, and reports whether it holds any change; it and what outage calls are called from one goroutine.
func Run(ctx context.Context, source ryeford.EndpointSource, options Options, apply func(update *ryeford.EndpointUpdate, since ryeford.Revision, sent time.Time) bool, outage *Outage) {
	next := poll{full: true}
	for ctx.Err() == nil {
		in, maxWait := options.Turn(clock.Now())
		if in > 0 {
			clock.Sleep(ctx, min(in, MaxSleep))
			continue
		}
		next.maxWait = maxWait
		if known := options.Known(); known > 0 {
			next.full, next.revision = next.historyLost, known
		}
		options.Sent(next.full)
		sent := clock.Now()
		update, err := send(ctx, source, next)
		if ctx.Err() != nil {
			return
		}
		result, revision := classify(next.revision, update.Revision, err)
		changed := false
		switch result {
		case current:
			outage.Answered()
			changed = apply(&update, next.revision, sent)
		case stale:
			outage.Answered()
		case failed:
			options.Failed(sent)
			outage.recordFailure(next.downSince(sent, clock.Now()), sent, err)
		}
		next = next.advance(result, revision)
		if pause := next.pause(result, changed, &options); pause > 0 {
			clock.Sleep(ctx, pause)
		}
	}
}

// send sends a poll to a source.
func send(ctx context.Context, source ryeford.EndpointSource, p poll) (ryeford.EndpointUpdate, error) {
	if p.full {
		return source.Endpoints(ctx)
	}
	return source.EndpointsSince(ctx, p.revision, p.wait())
}

// An Outage follows whether a source answers. The zero Outage is of one that does.
type Outage struct {
	// Lost is called at the first failure after an answer, Regained at the first
	// answer after failures.
	Lost     func(err error)
	Regained func(downtime ryeford.Downtime)

	lost     bool
	downtime ryeford.Downtime // set while lost
}

// Failed notes that the source did not answer a read that was sent at a time.
func (o *Outage) Failed(sent time.Time, err error) { o.recordFailure(sent, sent, err) }

// recordFailure notes that a read failed that was sent at a time, and since when the
// source may have been away if this is the first to fail.
func (o *Outage) recordFailure(down, sent time.Time, err error) {
	o.downtime.LastFailed = sent
	if o.lost {
		return
	}
	o.lost = true
	o.downtime.Began = down
	o.Lost(err)
}

// Answered notes that the source has answered.
func (o *Outage) Answered() {
	if !o.lost {
		return
	}
	o.lost = false
	o.downtime.Ended = clock.Now()
	o.Regained(o.downtime)
}
