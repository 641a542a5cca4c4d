// Package watch follows a source that can be read whole and then asked, with a
// wait, for what has changed since. It decides what to ask next, and when, from
// what the last answer was.
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ryeford/ryeford"
)

// A Source is what is followed. Both functions return the newest revision.
type Source[U any] struct {
	Read  func(ctx context.Context) (U, int64, error)
	Since func(ctx context.Context, revision int64, wait time.Duration) (U, int64, error)
}

// Options are how a source is followed.
type Options struct {
	// Wait is how long a question for changes is held where there are none.
	Wait func() time.Duration
	// Settle is the pause after an answer that told of a change, so that changes in
	// a row come in one answer.
	Settle time.Duration
	// Pause is the least pause after a failure; it doubles up to PauseMost.
	Pause     time.Duration
	PauseMost time.Duration
}

// A Handler is told what a watch learns.
type Handler[U any] struct {
	// Apply takes an answer. sent is when its question was sent, of the steady
	// clock: the answer is not older than that. It reports whether the answer told
	// of any change.
	Apply func(update U, revision int64, sent time.Time) bool
	// Lost is called at the first failure after an answer, Regained at the first
	// answer after failures.
	Lost     func(err error)
	Regained func(after time.Duration)
}

// Run follows a source until ctx ends.
func Run[U any](ctx context.Context, source Source[U], options Options, handler Handler[U]) error {
	var revision int64
	whole := true
	failures := 0
	var lostAt time.Time
	for ctx.Err() == nil {
		sent := time.Now()
		wait := options.Wait()
		if failures > 0 {
			wait = 0 // a source that is back is to be noticed at once
		}
		update, newest, err := ask(ctx, source, whole, revision, wait)
		if ctx.Err() != nil {
			return nil
		}
		var historyLost *ryeford.HistoryLostError
		switch {
		case err == nil:
			if !lostAt.IsZero() {
				handler.Regained(time.Since(lostAt))
				lostAt = time.Time{}
			}
			failures = 0
			if newest < revision {
				// A stale answer is no confirmation.
				Pause(ctx, options.Pause)
				continue
			}
			changed := handler.Apply(update, newest, sent)
			revision, whole = newest, false
			if changed {
				Pause(ctx, options.Settle)
			}
		case errors.As(err, &historyLost):
			whole = true
			revision = min(revision, historyLost.Revision)
		default:
			if lostAt.IsZero() {
				lostAt = sent
				handler.Lost(err)
			}
			failures++
			Pause(ctx, backoff(failures, options))
		}
	}
	return nil
}

// ask asks the one question or the other.
func ask[U any](ctx context.Context, source Source[U], whole bool, revision int64, wait time.Duration) (U, int64, error) {
	if whole {
		return source.Read(ctx)
	}
	return source.Since(ctx, revision, wait)
}

// backoff returns the pause after some failures in a row: between a half and the
// whole of a step that doubles.
func backoff(failures int, options Options) time.Duration {
	step := options.PauseMost
	if shift := failures - 1; shift < 16 {
		step = min(step, options.Pause<<shift)
	}
	return step/2 + time.Duration(rand.Int64N(int64(step/2)+1))
}

// Pause waits, or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
