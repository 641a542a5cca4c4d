package watch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// settle is the pause after a change.
const settle = 300 * time.Millisecond

// A step is the source's response to one poll.
type step struct {
	revision ryeford.Revision
	err      error
	delay    time.Duration
}

// A receivedPoll is one poll as received by the source.
type receivedPoll struct {
	full  bool
	since ryeford.Revision
	wait  time.Duration
}

// A recording is the behavior of a watch.
type recording struct {
	polls    []receivedPoll
	times    []time.Duration    // of the polls, since began
	applied  []ryeford.Revision // revisions of the applied updates
	lost     int                // calls of Outage.OnLost
	regained []ryeford.Downtime
	began    time.Time
}

// A fakeSource responds to each poll of a watch.
type fakeSource func(receivedPoll) (ryeford.EndpointUpdate, error)

// Endpoints implements ryeford.EndpointSource.
func (respond fakeSource) Endpoints(context.Context) (ryeford.EndpointUpdate, error) {
	return respond(receivedPoll{full: true})
}

// EndpointsSince implements ryeford.EndpointSource.
func (respond fakeSource) EndpointsSince(_ context.Context, since ryeford.Revision, wait time.Duration) (ryeford.EndpointUpdate, error) {
	return respond(receivedPoll{since: since, wait: wait})
}

// runSteps runs a watch on a source that responds by one step after the other. The poll after the last step ends it.
func runSteps(t *testing.T, steps ...step) *recording {
	t.Helper()
	r := &recording{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r.began = time.Now()
		respond := func(p receivedPoll) (ryeford.EndpointUpdate, error) {
			r.polls = append(r.polls, p)
			r.times = append(r.times, time.Since(r.began))
			if len(r.polls) > len(steps) {
				cancel()
				return ryeford.EndpointUpdate{}, context.Canceled
			}
			now := steps[len(r.polls)-1]
			time.Sleep(now.delay)
			return ryeford.EndpointUpdate{Revision: now.revision}, now.err
		}
		known := ryeford.Revision(0)
		options := Options{
			NextPoll:      func(time.Time) (in, maxWait time.Duration) { return 0, time.Second },
			KnownRevision: func() ryeford.Revision { return known },
			MinPause:      10 * time.Millisecond, MaxPause: maxPause, SettleDelay: settle,
			OnSend: func(bool) {}, OnFailure: func(time.Time) {},
		}
		apply := func(update *ryeford.EndpointUpdate, _ ryeford.Revision, _ time.Time) bool {
			known = update.Revision
			r.applied = append(r.applied, update.Revision)
			return len(r.applied) > 1 && r.applied[len(r.applied)-2] < update.Revision
		}
		Run(ctx, fakeSource(respond), options, apply, &Outage{
			OnLost:     func(error) { r.lost++ },
			OnRegained: func(downtime ryeford.Downtime) { r.regained = append(r.regained, downtime) },
		})
	})
	return r
}

// TestRun checks that a watch reads the full list once and then the changes.
func TestRun(t *testing.T) {
	r := runSteps(t, step{revision: 3, delay: time.Millisecond}, step{revision: 3, delay: time.Second}, step{revision: 7})
	assert.DeepEqual(t, r.applied, []ryeford.Revision{3, 3, 7})
	assert.Equal(t, r.polls[0], receivedPoll{full: true})
	assert.Equal(t, r.polls[1], receivedPoll{since: 3, wait: time.Second})
	assert.Equal(t, r.polls[3], receivedPoll{since: 7, wait: time.Second})
}

// TestSettle checks that successive changes are read together: a watch pauses after a response with a change only.
func TestSettle(t *testing.T) {
	r := runSteps(t, step{revision: 1}, step{revision: 2}, step{revision: 2}, step{revision: 5})
	assert.DeepEqual(t, r.applied, []ryeford.Revision{1, 2, 2, 5})
	assert.DeepEqual(t, r.times, []time.Duration{0, 0, settle, settle, 2 * settle})
}

// TestStale checks that an update older than the known revision is not applied and confirms nothing.
func TestStale(t *testing.T) {
	r := runSteps(t, step{revision: 9}, step{revision: 4}, step{revision: 9})
	assert.DeepEqual(t, r.applied, []ryeford.Revision{9, 9})
}

// TestHistoryLost checks that the full list is read again once the source no longer has the changes.
func TestHistoryLost(t *testing.T) {
	r := runSteps(t, step{revision: 9}, step{err: &ryeford.HistoryLostError{}}, step{revision: 12})
	assert.DeepEqual(t, r.applied, []ryeford.Revision{9, 12})
	assert.Equal(t, r.polls[2], receivedPoll{full: true})
	assert.Equal(t, r.lost, 0)
}

// TestOutage checks that a failed source is polled without a wait, so that its return is noticed immediately, and that an
// outage and its end are each reported once.
func TestOutage(t *testing.T) {
	out := step{err: errors.New("out")}
	r := runSteps(t, step{revision: 2}, out, out, out, step{revision: 2})
	assert.DeepEqual(t, r.applied, []ryeford.Revision{2, 2})
	assert.Equal(t, r.lost, 1)
	assert.Equal(t, len(r.regained), 1)
	assert.Equal(t, r.polls[1].wait, time.Second)
	for _, p := range r.polls[2:5] {
		assert.Equal(t, p, receivedPoll{since: 2})
	}
	assert.Equal(t, r.polls[5].wait, time.Second)
}

// TestDowntime checks the beginning, last failure and end of a downtime: a poll that fails early proves that the
// source was up until then, and one that times out may never have reached it.
func TestDowntime(t *testing.T) {
	out := errors.New("out")
	const held = 400 * time.Millisecond // less than the wait of a poll
	for name, test := range map[string]struct {
		first step
		began time.Duration
	}{
		"reset while held": {step{err: out, delay: held}, held},
		"timed out":        {step{err: out, delay: 1700 * time.Millisecond}, 0},
	} {
		r := runSteps(t, step{revision: 2}, test.first, step{err: out, delay: time.Second}, step{revision: 2, delay: time.Millisecond})
		assert.Equal(t, len(r.regained), 1, name)
		downtime := r.regained[0]
		assert.Equal(t, downtime.Began, r.began.Add(test.began), name)
		assert.Equal(t, downtime.LastFailed, r.began.Add(r.times[2]), name)
		assert.Equal(t, downtime.Ended, r.began.Add(r.times[3]+time.Millisecond), name)
	}
}
