package streamversion

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// These tests guard against a stream that goes on at another version at a router that lacks, for some seconds, that endpoints
// of a new version have joined: it is cut off from the others, or it stood still.

// list makes a router's list hold versions with a number of endpoints each that accept requests, as of now.
func (t *Tracker) list(accepting map[ryeford.SoftwareVersion]int) {
	t.history.List(time.Now(), map[string]map[ryeford.SoftwareVersion]int{"s": accepting}, true)
	t.history.Confirm(time.Now())
	t.Sweep(time.Now())
}

// takenUpOutOfStep returns the origin of a stream that began at v2 at router 0, right after v2 was listed there, and is taken
// up at the last router, whose list is a second old. replaced means that v1 accepts no requests any more; otherwise router 0
// has just started, so that it doesn't know which version is older. resumes is how the caller names the stream.
func takenUpOutOfStep(t *testing.T, replaced, cutOff bool, resumes string) Origin {
	t.Helper()
	l, trackers := newLinkedTrackers(Replicas+3, "v1") // the last one keeps no record
	late := trackers[len(trackers)-1]
	time.Sleep(10 * time.Second)
	for _, tracker := range trackers {
		tracker.list(map[ryeford.SoftwareVersion]int{"v1": 2})
	}
	synctest.Wait()
	accepting := 2
	if replaced {
		accepting = 0
	}
	trackers[0].history = NewHistory(testLimits, false)
	if replaced {
		trackers[0].history = NewHistory(testLimits, true)
		trackers[0].list(map[ryeford.SoftwareVersion]int{"v1": 2})
	}
	time.Sleep(500 * time.Millisecond)
	for _, tracker := range trackers[:len(trackers)-1] {
		tracker.list(map[ryeford.SoftwareVersion]int{"v1": accepting, "v2": 2})
	}
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, trackers[0].history.NewStreams(time.Now(), "s").Allows("v2"), "no stream begins at v2")
	begin(t, trackers[0], "r", "s", "v2").End()
	synctest.Wait()
	if cutOff {
		l.setCut(late.self)
	}
	return resume(late, resumes, "s", "account")
}

// TestTakeUpOutOfStep checks that a router which lacks the version that began a stream asks those that know it, and that one
// which reaches nobody rejects the stream.
func TestTakeUpOutOfStep(t *testing.T) {
	for name, replaced := range map[string]bool{"the old version accepts nothing": true, "at a router that has just started": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				assert.Equal(t, takenUpOutOfStep(t, replaced, false, "r").Software, ryeford.SoftwareVersion("v2"))
			})
			for _, resumes := range []string{"r", ""} {
				synctest.Test(t, func(t *testing.T) {
					origin := takenUpOutOfStep(t, replaced, true, resumes)
					assert.Assert(t, !origin.Software.Known(), "named %q: %+v", resumes, origin)
				})
			}
		})
	}
}

// TestUnnamedTakeUpOutOfStep checks that a stream that its caller doesn't name is rejected, since no record can be found: the
// peers that list both versions don't prove the old one as long as streams begin at the new one.
func TestUnnamedTakeUpOutOfStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		origin := takenUpOutOfStep(t, true, false, "")
		assert.Assert(t, !origin.Software.Known(), "%+v", origin)
	})
}

// TestUnnamedTakeUpAfterStart checks the same for a stream that began at a router that has just started.
func TestUnnamedTakeUpAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		origin := takenUpOutOfStep(t, false, false, "")
		assert.Assert(t, !origin.Software.Known(), "%+v", origin)
	})
}

// TestTakeUpInOrdinaryRelease checks the same while the old version accepts requests: no stream begins at the new one as long
// as a router may lack it.
func TestTakeUpInOrdinaryRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, trackers := newLinkedTrackers(4, "v1")
		time.Sleep(10 * time.Second)
		for _, tracker := range trackers {
			tracker.list(map[ryeford.SoftwareVersion]int{"v1": 2})
		}
		listed := time.Now()
		for _, tracker := range trackers[:3] {
			tracker.list(map[ryeford.SoftwareVersion]int{"v1": 2, "v2": 2})
		}
		for !trackers[0].history.NewStreams(time.Now(), "s").Allows("v2") {
			assert.Equal(t, resume(trackers[3], "r", "s", "account").Software, ryeford.SoftwareVersion("v1"))
			time.Sleep(10 * time.Millisecond)
			trackers[0].history.Confirm(time.Now())
		}
		assert.Assert(t, time.Since(listed) >= testLimits.Settle)
		_, only := trackers[3].history.Only(time.Now().Add(time.Millisecond), "s")
		assert.Assert(t, !only)
	})
}

// TestTakeUpOfOnlyVersion checks that streams go on while one version serves, though a peer doesn't reply, and how soon.
func TestTakeUpOfOnlyVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, trackers := newLinkedTrackers(4, "v1")
		began := time.Now()
		for _, resumes := range []string{"r", ""} {
			assert.Equal(t, resume(trackers[3], resumes, "s", "account"), Origin{Software: "v1", Source: SourceOnly, Asked: 3})
		}
		assert.Equal(t, time.Since(began), time.Duration(0))
		l.setCut(trackers[0].self)
		trackers[3].restore = func(context.Context, Key, bool) (ryeford.SoftwareVersion, bool) {
			trackers[3].history.SetStored(time.Now(), time.Now(), []ryeford.ServiceVersion{{Service: uint32(serviceOf("s")), Software: "v1"}})
			return "", true
		}
		trackers[3].history.UseStore()
		origin := resume(trackers[3], "r", "s", "account")
		assert.Equal(t, origin.Software, ryeford.SoftwareVersion("v1"))
		assert.Assert(t, time.Since(began) <= secondRound, "%v", time.Since(began))
	})
}

// TestTakeUpContradicted checks that a stream is rejected if a router and its peer each know another version as the only one.
func TestTakeUpContradicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, trackers := newLinkedTrackers(3, "v1")
		trackers[0].history = NewHistory(testLimits, true)
		trackers[0].list(map[ryeford.SoftwareVersion]int{"v2": 2})
		assert.Equal(t, resume(trackers[2], "r", "s", "account"), Origin{Source: SourceNone, Asked: 2})
	})
}
