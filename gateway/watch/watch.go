// Package watch follows the list of endpoints by long polling: it reads the full list, then waits for changes.
//
// Which poll follows, and when, depends on the response to the last one (next.go). The source must respond once
// the wait of a poll is over.
package watch

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/clock"
)

// Options configure how a source is followed.
type Options struct {
	// NextPoll returns the time until the next poll is due, zero if it is due now, and how long the source may
	// wait for a change before it responds. It is called again before the poll.
	NextPoll func(now time.Time) (in, maxWait time.Duration)
	// KnownRevision returns the newest revision that the router has from any source, or zero if it has none. The
	// full list is read if it is zero.
	KnownRevision func() ryeford.Revision
	// SettleDelay is the pause after a response with a change, so that the next response contains several
	// changes.
	SettleDelay time.Duration
	// MinPause is the pause after the first failure, of which jitter subtracts up to half. It doubles with
	// each failure in a row, up to MaxPause. A stale response counts as a failure.
	MinPause time.Duration
	MaxPause func() time.Duration
	// OnSend is called before each poll, and OnFailure after each failed poll with the time at which it was
	// sent.
	OnSend    func(full bool)
	OnFailure func(sent time.Time)
}

// MaxSleep is the maximum time that a watch sleeps before it checks again whether a poll is due: a revision that is
// received from elsewhere may make a poll due earlier.
const MaxSleep = 50 * time.Millisecond

// Run follows a source until ctx ends. It calls apply with each update, the revision since which changes were asked
// for and the time of the poll; apply reports whether the update contains a change. apply and the functions of
// outage are called from one goroutine.
func Run(ctx context.Context, source ryeford.EndpointSource, options Options, apply func(update *ryeford.EndpointUpdate, since ryeford.Revision, sent time.Time) bool, outage *Outage) {
	next := poll{full: true}
	for ctx.Err() == nil {
		in, maxWait := options.NextPoll(clock.Now())
		if in > 0 {
			clock.Sleep(ctx, min(in, MaxSleep))
			continue
		}
		next.maxWait = maxWait
		if known := options.KnownRevision(); known > 0 {
			next.full, next.revision = next.historyLost, known
		}
		options.OnSend(next.full)
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
			options.OnFailure(sent)
			outage.recordFailure(next.downSince(sent, clock.Now()), sent, err)
		}
		next = next.advance(result, revision)
		if pause := next.pause(result, changed, &options); pause > 0 {
			clock.Sleep(ctx, pause)
		}
	}
}

func send(ctx context.Context, source ryeford.EndpointSource, p poll) (ryeford.EndpointUpdate, error) {
	if p.full {
		return source.Endpoints(ctx)
	}
	return source.EndpointsSince(ctx, p.revision, p.wait())
}

// An Outage tracks whether a source responds. The zero Outage is of a source that does.
type Outage struct {
	// OnLost is called at the first failure after a success, OnRegained at the first success after a
	// failure.
	OnLost     func(err error)
	OnRegained func(downtime ryeford.Downtime)

	lost     bool
	downtime ryeford.Downtime // set while lost
}

// Failed records that the source did not respond to a read that was sent at a time.
func (o *Outage) Failed(sent time.Time, err error) { o.recordFailure(sent, sent, err) }

// recordFailure records that a read failed that was sent at a time. downSince is when the outage began if this is
// its first failure.
func (o *Outage) recordFailure(downSince, sent time.Time, err error) {
	o.downtime.LastFailed = sent
	if o.lost {
		return
	}
	o.lost = true
	o.downtime.Began = downSince
	o.OnLost(err)
}

// Answered records that the source has responded.
func (o *Outage) Answered() {
	if !o.lost {
		return
	}
	o.lost = false
	o.downtime.Ended = clock.Now()
	o.OnRegained(o.downtime)
}
