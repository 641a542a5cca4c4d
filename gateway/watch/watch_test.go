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

// A script answers a watch's polls one after the other and then ends it.
type script struct {
	steps  []step
	asked  []asked
	at     []time.Time
	cancel context.CancelFunc
}

type step struct {
	revision int64
	err      error
	takes    time.Duration
}

// An asked is one poll as the source got it.
type asked struct {
	whole bool
	since int64
	wait  time.Duration
}

// TestSettle checks that changes in a row are asked for together: a watch waits
// after an answer with a change, and not after one without.
func TestSettle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		s, applied, _, _ := playSteps(step{revision: 1}, step{revision: 2}, step{revision: 2}, step{revision: 5})
		assert.DeepEqual(t, applied, []int64{1, 2, 2, 5})
		assert.DeepEqual(t, s.times(began), []time.Duration{0, 0, settle, settle, 2 * settle})
	})
}

func (s *script) next(q asked) (string, int64, error) {
	s.asked = append(s.asked, q)
	s.at = append(s.at, time.Now())
	if len(s.asked) > len(s.steps) {
		s.cancel()
		return "", 0, context.Canceled
	}
	now := s.steps[len(s.asked)-1]
	time.Sleep(now.takes)
	return "update", now.revision, now.err
}

// times returns when each poll was sent.
func (s *script) times(began time.Time) []time.Duration {
	var times []time.Duration
	for _, at := range s.at {
		times = append(times, at.Sub(began))
	}
	return times
}

// settle is the pause after a change in these tests.
const settle = 300 * time.Millisecond

// play plays a script and returns the revisions that were applied.
func play(t *testing.T, steps ...step) (s *script, applied []int64, lost, regained int) {
	synctest.Test(t, func(*testing.T) { s, applied, lost, regained = playSteps(steps...) })
	return s, applied, lost, regained
}

// playSteps plays a script within a bubble of time.
func playSteps(steps ...step) (s *script, applied []int64, lost, regained int) {
	ctx, cancel := context.WithCancel(context.Background())
	s = &script{steps: steps, cancel: cancel}
	source := Source[string]{
		Read: func(context.Context) (string, int64, error) { return s.next(asked{whole: true}) },
		Since: func(_ context.Context, since int64, wait time.Duration) (string, int64, error) {
			return s.next(asked{since: since, wait: wait})
		},
	}
	Run(ctx, source, Options{Wait: time.Second, MinPause: 10 * time.Millisecond, MaxPause: 100 * time.Millisecond, Settle: settle}, Handler[string]{
		Apply: func(_ string, revision int64) bool {
			applied = append(applied, revision)
			return len(applied) > 1 && applied[len(applied)-2] < revision
		},
		Lost:     func(error) { lost++ },
		Regained: func(time.Duration) { regained++ },
	})
	return s, applied, lost, regained
}

// TestFollow checks that a watch reads the whole once and then the changes.
func TestFollow(t *testing.T) {
	s, applied, _, _ := play(t, step{revision: 3, takes: time.Millisecond}, step{revision: 3, takes: time.Second}, step{revision: 7})
	assert.DeepEqual(t, applied, []int64{3, 3, 7})
	assert.Equal(t, s.asked[0], asked{whole: true})
	assert.Equal(t, s.asked[1], asked{since: 3, wait: time.Second})
	assert.Equal(t, s.asked[3], asked{since: 7, wait: time.Second})
}

// TestStale checks that an answer older than what is known is neither applied nor
// taken for a confirmation.
func TestStale(t *testing.T) {
	_, applied, _, _ := play(t, step{revision: 9}, step{revision: 4}, step{revision: 9})
	assert.DeepEqual(t, applied, []int64{9, 9})
}

// TestHistoryLost checks that the whole is read again once changes are no longer kept.
func TestHistoryLost(t *testing.T) {
	s, applied, lost, _ := play(t, step{revision: 9}, step{err: &ryeford.HistoryLostError{Revision: 9}}, step{revision: 12})
	assert.DeepEqual(t, applied, []int64{9, 12})
	assert.Equal(t, s.asked[2], asked{whole: true})
	assert.Equal(t, lost, 0)
}

// TestOutage checks that a source that is out is asked without a wait, so that
// its return is noticed at once, and that it is lost and regained once.
func TestOutage(t *testing.T) {
	out := step{err: errors.New("out")}
	s, applied, lost, regained := play(t, step{revision: 2}, out, out, out, step{revision: 2})
	assert.DeepEqual(t, applied, []int64{2, 2})
	assert.Equal(t, lost, 1)
	assert.Equal(t, regained, 1)
	assert.Equal(t, s.asked[1].wait, time.Second)
	for _, q := range s.asked[2:5] {
		assert.Equal(t, q, asked{since: 2})
	}
	assert.Equal(t, s.asked[5].wait, time.Second)
}
