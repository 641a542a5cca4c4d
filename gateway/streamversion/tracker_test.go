package streamversion

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// A link plays the network between two trackers: it delivers datagrams at once unless it is cut.
type link struct {
	trackers map[netip.AddrPort]*Tracker

	mu   sync.Mutex
	cut  map[netip.AddrPort]bool
	sent int
}

// setCut cuts a router off.
func (l *link) setCut(address netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[address] = true
}

// send counts a datagram and reports whether it is delivered.
func (l *link) send(from, to netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	return !l.cut[from] && !l.cut[to]
}

// sends returns the number of datagrams that were sent.
func (l *link) sends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// newLinkedTrackers returns trackers that list the given versions of service s, and the link between them.
func newLinkedTrackers(n int, versions ...ryeford.SoftwareVersion) (*link, []*Tracker) {
	l := &link{trackers: make(map[netip.AddrPort]*Tracker), cut: make(map[netip.AddrPort]bool)}
	var addresses []netip.AddrPort
	for i := range n {
		addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000))
	}
	var trackers []*Tracker
	for _, self := range addresses {
		history := NewHistory(testLimits, true)
		history.List(time.Now(), listOf(versions), true)
		history.Confirm(time.Now())
		tracker := NewTracker(Options{Self: self, Limits: testLimits, History: history, Now: time.Now,
			Ranked: func(_ time.Time, _ uint64, n int) []netip.AddrPort {
				var others []netip.AddrPort
				for _, address := range addresses {
					if address != self && len(others) < n {
						others = append(others, address)
					}
				}
				return others
			},
			Send: func(to netip.AddrPort, datagram []byte) {
				if l.send(self, to) {
					go l.trackers[to].Receive(append([]byte(nil), datagram...))
				}
			},
		})
		l.trackers[self] = tracker
		trackers = append(trackers, tracker)
	}
	return l, trackers
}

// begin begins a stream at a version.
func begin(t *testing.T, tracker *Tracker, id, service string, software ryeford.SoftwareVersion) *Stream {
	t.Helper()
	s := tracker.New(ryeford.RequestID(id), service, "account")
	s.Sending(software)
	assert.NilError(t, s.Begin(context.Background(), software))
	return s
}

// resume returns the origin of a stream that is taken up.
func resume(tracker *Tracker, resumes, service string, account ryeford.AccountID) Origin {
	return tracker.New("later", service, account).Resume(context.Background(), ryeford.RequestID(resumes), account)
}

// TestOrigin guards against a stream whose version is guessed, and against one that is unknown though a router knows.
func TestOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, trackers := newLinkedTrackers(3, "v1", "v2")
		begin(t, trackers[0], "r", "s", "v2")
		for i, tracker := range trackers {
			origin := resume(tracker, "r", "s", "account")
			assert.Equal(t, origin.Software, ryeford.SoftwareVersion("v2"), "router %d", i)
		}
		for name, origin := range map[string]Origin{
			"another request": resume(trackers[1], "q", "s", "account"),
			"no request":      resume(trackers[1], "", "s", "account"),
			"another account": resume(trackers[1], "r", "s", "other"),
			"another service": resume(trackers[1], "r", "other", "account"),
		} {
			assert.Equal(t, origin.Source, SourceNone, name)
			assert.Assert(t, !origin.Software.Known(), name)
			assert.Equal(t, origin.Silent, 0, name)
		}
	})
}

// TestOriginAfterKill guards against a stream that nobody knows once the router that began it was killed right after
// the first event, and against a lookup that waits for routers that don't answer longer than it has to.
func TestOriginAfterKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, trackers := newLinkedTrackers(4, "v1", "v2")
		begin(t, trackers[0], "r", "s", "v1")
		l.setCut(trackers[0].self)
		began := time.Now()
		assert.Equal(t, resume(trackers[3], "r", "s", "account").Software, ryeford.SoftwareVersion("v1"))
		assert.Equal(t, resume(trackers[3], "unknown", "s", "account").Silent, 1)
		assert.Assert(t, time.Since(began) <= lookupTimeout)
	})
}

// TestCutOffRouter guards against a router without its peers that passes no event on, and against a stream of it that
// others continue at a version of their choice.
func TestCutOffRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, trackers := newLinkedTrackers(3, "v1", "v2")
		l.setCut(trackers[0].self)
		began := time.Now()
		begin(t, trackers[0], "r", "s", "v1")
		assert.Equal(t, time.Since(began), confirmTimeout)
		assert.Equal(t, resume(trackers[0], "r", "s", "account").Software, ryeford.SoftwareVersion("v1"))
		assert.Equal(t, resume(trackers[1], "r", "s", "account").Source, SourceNone)
	})
}

// TestReplacedRecord guards against a stream that begins at another version than peers have a record of.
func TestReplacedRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, trackers := newLinkedTrackers(3, "v1", "v2")
		s := trackers[0].New("r", "s", "account")
		s.Sending("v1")
		synctest.Wait()
		preferred, ok := s.Preferred()
		assert.Assert(t, ok && preferred == "v1")
		s.Sending("v2")
		assert.NilError(t, s.Begin(context.Background(), "v2"))
		assert.Equal(t, resume(trackers[1], "r", "s", "account").Software, ryeford.SoftwareVersion("v2"))

		s = trackers[0].New("q", "s", "account")
		s.Sending("v1")
		synctest.Wait()
		l.setCut(trackers[2].self)
		s.Sending("v2")
		var unconfirmed *UnconfirmedError
		assert.ErrorType(t, s.Begin(context.Background(), "v2"), unconfirmed)
		assert.Assert(t, !s.Constraint().Begun())
	})
}

// TestOnlyVersionSendsNothing guards against messages and records while one version serves, and against running
// streams that are unknown once a second version is listed.
func TestOnlyVersionSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, trackers := newLinkedTrackers(3, "v1")
		s := begin(t, trackers[0], "r", "s", "v1")
		ended := begin(t, trackers[0], "q", "s", "v1")
		ended.End()
		assert.Equal(t, l.sends(), 0)
		assert.Equal(t, resume(trackers[1], "unknown", "s", "account").Source, SourceOnly)
		synctest.Wait()
		assert.Equal(t, l.sends(), 4, "each of two peers is asked once, and replies")
		assert.Equal(t, trackers[0].Len(), 0)
		time.Sleep(time.Second)
		for _, tracker := range trackers {
			tracker.history.List(time.Now(), listOf([]ryeford.SoftwareVersion{"v1", "v2"}), true)
		}
		time.Sleep(2 * time.Second)
		for _, tracker := range trackers {
			tracker.history.Confirm(time.Now())
			tracker.Sweep(time.Now())
		}
		synctest.Wait()
		assert.Equal(t, resume(trackers[1], "r", "s", "account").Software, ryeford.SoftwareVersion("v1"))
		assert.Equal(t, resume(trackers[1], "q", "s", "account").Source, SourceNone)
		s.End()
	})
}

// TestOtherVersionIsRecorded guards against a stream without a record at a router that knows one version, if the endpoint
// that begins it runs another one.
func TestOtherVersionIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, software := range []ryeford.SoftwareVersion{"v2", ""} {
			l, trackers := newLinkedTrackers(3, "v1")
			begin(t, trackers[0], "r", "s", software)
			assert.Assert(t, l.sends() > 0)
			origin := resume(trackers[0], "r", "s", "account")
			assert.Equal(t, origin.Source, SourceRecord)
			assert.Equal(t, origin.Software, software)
		}
	})
}

// TestRecordsBound guards against records that grow without a bound or stay for good, and against records of streams
// that go on but are dropped.
func TestRecordsBound(t *testing.T) {
	now := time.Unix(1000, 0)
	records := newTable(100)
	key := func(i int) Key { return NewKey(ryeford.RequestID(strconv.Itoa(i)), "s", "a") }
	for i := range 1000 {
		records.put(now, Record{Key: key(i), Software: "v1"})
	}
	assert.Equal(t, len(records.records), 100)
	_, oldest := records.get(now, key(0))
	_, newest := records.get(now, key(999))
	assert.Assert(t, !oldest && newest)
	now = now.Add(time.Minute)
	records.get(now, key(999))
	records.expire(now.Add(time.Second), time.Minute)
	assert.Equal(t, len(records.records), 1)
	assert.Equal(t, len(records.written), 1)

	records.put(now, Record{Key: key(1), Attempt: 2, Software: "v2"})
	records.put(now, Record{Key: key(1), Attempt: 1, Software: "v1"})
	kept, _ := records.get(now, key(1))
	assert.Equal(t, kept.Software, ryeford.SoftwareVersion("v2"), "a delayed record of an earlier attempt")
}
