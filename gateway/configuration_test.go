package gateway

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/internal/telemetry"
)

// A fakeConfigurationSource is a source of configurations whose monotonic clock is that of the test.
type fakeConfigurationSource struct {
	began        time.Time
	version      int64 // zero: no configuration yet
	revision     ryeford.Revision
	err          error
	reads        []time.Duration // times of the reads, since began
	size         int             // of the configuration, in bytes
	compared     int             // number of reads that found it unchanged
	transferTime time.Duration   // time to transfer the configuration
	// compareErr is the error of conditional reads.
	compareErr error
}

// Configuration implements ryeford.ConfigurationSource.
func (s *fakeConfigurationSource) Configuration(context.Context, ryeford.KnownConfiguration) (ryeford.ConfigurationUpdate, error) {
	s.reads = append(s.reads, time.Since(s.began))
	defer time.Sleep(s.transferTime)
	update := ryeford.ConfigurationUpdate{Revision: s.revision, Clock: time.Since(s.began), ResponseStarted: time.Now()}
	if s.version > 0 {
		update.Configuration = &ryeford.Configuration{Version: s.version}
		update.State, update.Size = ryeford.ConfigurationState(s.version), s.size
	}
	return update, s.err
}

// ConfigurationIfChanged implements ryeford.ConfigurationSource.
func (s *fakeConfigurationSource) ConfigurationIfChanged(ctx context.Context, known ryeford.KnownConfiguration) (ryeford.ConfigurationUpdate, error) {
	if s.compareErr != nil {
		return ryeford.ConfigurationUpdate{}, s.compareErr
	}
	if ryeford.ConfigurationState(s.version) != known.State {
		known.NotifyChange()
		return s.Configuration(ctx, known)
	}
	s.compared++
	return ryeford.ConfigurationUpdate{Unchanged: true, Revision: s.revision, Clock: time.Since(s.began), ResponseStarted: time.Now()}, nil
}

// A configurationFixture is a configuration without a gateway.
type configurationFixture struct {
	*configuration
	source  *fakeConfigurationSource
	updates int
}

// newConfigurationFixture returns a configuration with a lease of four seconds that is read every
// second. Its source has version 1.
func newConfigurationFixture() *configurationFixture {
	f := &configurationFixture{source: &fakeConfigurationSource{began: time.Now(), version: 1, revision: 5}}
	f.configuration = newConfiguration(configurationOptions{
		source:           f.source,
		term:             4 * time.Second,
		refresh:          time.Second,
		changeTimeout:    2 * time.Second,
		unreachableAfter: 3 * time.Second,
		peers:            peers.New(netip.AddrPort{}, peers.DefaultLimits()),
		revision:         &storeRevision{},
		onUpdate:         func() { f.updates++ },
		log:              log.NewNopLogger(),
		metrics:          telemetry.NewSet(),
	})
	return f
}

// hasMetric reports whether the metrics contain a line.
func (f *configurationFixture) hasMetric(line string) bool {
	return strings.Contains(string(f.metrics.Write()), line+"\n")
}

// runFor runs the configuration for a duration.
func (f *configurationFixture) runFor(t *testing.T, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	assert.NilError(t, f.run(ctx))
}

// TestConfigurationReads checks how often a router without peers reads, with and without a
// configuration in force.
func TestConfigurationReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigurationFixture()
		f.source.version = 0
		f.runFor(t, 900*time.Millisecond)
		assert.DeepEqual(t, f.source.reads, []time.Duration{0, 400 * time.Millisecond, 800 * time.Millisecond})
		assert.Assert(t, f.current() == nil)
		assert.Equal(t, f.version(), int64(0))
		assert.Equal(t, f.updates, 0)
		assert.Assert(t, !f.reliable(time.Now()), "no configuration yet")

		f.source.version, f.source.reads = 1, nil
		f.runFor(t, 2500*time.Millisecond)
		assert.DeepEqual(t, f.source.reads, []time.Duration{900 * time.Millisecond, 1900 * time.Millisecond, 2900 * time.Millisecond})
		assert.Equal(t, f.version(), int64(1))
		assert.Equal(t, f.updates, 3)
		assert.Assert(t, f.reliable(time.Now()))
	})
}

// TestConfigurationServesKeysInOutage checks that keys are served in an outage if the settings allow
// it, except while a peer reports a newer version that is not in force yet.
func TestConfigurationServesKeysInOutage(t *testing.T) {
	for _, served := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newConfigurationFixture()
			f.serveKeysInOutage = served
			f.runFor(t, 100*time.Millisecond)
			f.source.err = errors.New("unavailable")
			f.runFor(t, time.Minute)
			assert.Assert(t, !f.reliable(time.Now()))
			assert.Equal(t, f.servesKeys(time.Now()), served)
			f.mergePeerConfirmation(time.Now(), netip.AddrPort{}, 2, time.Minute)
			assert.Assert(t, !f.servesKeys(time.Now()), "a key may be revoked in the newer version")
			f.source.err, f.source.version = nil, 2
			f.runFor(t, time.Second)
			assert.Assert(t, f.servesKeys(time.Now()))
		})
	}
}

// TestConfigurationOutage checks that the lease ends four seconds after the last confirmed read was
// sent, and that an outage is counted once.
func TestConfigurationOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigurationFixture()
		f.runFor(t, 100*time.Millisecond)
		f.source.err = errors.New("unavailable")
		f.runFor(t, 3800*time.Millisecond)
		assert.Assert(t, f.reliable(time.Now()))
		assert.Equal(t, f.leaseRemaining(), 100*time.Millisecond)
		f.runFor(t, 100*time.Millisecond)
		assert.Assert(t, !f.reliable(time.Now()))
		assert.Equal(t, f.version(), int64(1), "it stays in force without a valid lease")
		assert.Assert(t, f.hasMetric(`ryeford_dependency_lost_total{reason="configuration"} 1`))
		f.source.err = nil
		f.runFor(t, 500*time.Millisecond)
		assert.Assert(t, f.reliable(time.Now()))
	})
}

// TestConfigurationStaleRead checks that a read older than the newest revision of any table neither
// renews the lease nor is put in force.
func TestConfigurationStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigurationFixture()
		f.revision.recordAnswer(6)
		f.runFor(t, 10*time.Millisecond)
		assert.Assert(t, f.current() == nil)
		assert.Assert(t, !f.reliable(time.Now()))
		assert.Equal(t, f.updates, 0)
		assert.Assert(t, f.hasMetric("ryeford_stale_answers_total 1"))
	})
}

// TestConfigurationPeerConfirmation checks that a peer's confirmation of the same version renews the
// lease, that one of a newer version triggers a read, and that one of an older version has no effect.
func TestConfigurationPeerConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigurationFixture()
		f.runFor(t, 10*time.Millisecond)
		time.Sleep(2 * time.Second)
		f.mergePeerConfirmation(time.Now(), netip.AddrPort{}, 0, 2*time.Second)
		assert.Equal(t, f.leaseRemaining(), 1990*time.Millisecond, "an older version")
		f.mergePeerConfirmation(time.Now(), netip.AddrPort{}, 1, 2*time.Second)
		assert.Equal(t, f.leaseRemaining(), 3990*time.Millisecond, "the same version, confirmed 10 ms ago")
		confirmed, _ := f.lease.Confirmed()
		assert.Equal(t, confirmed, 2*time.Second, "the confirmation is passed on to peers")
		reads := len(f.source.reads)
		f.mergePeerConfirmation(time.Now(), netip.AddrPort{}, 2, 2*time.Second)
		f.mergePeerConfirmation(time.Now(), netip.AddrPort{}, 2, 2*time.Second)
		assert.Equal(t, f.leaseRemaining(), 3990*time.Millisecond, "a newer version does not confirm the one in force")
		f.source.version = 2
		f.runFor(t, 100*time.Millisecond)
		assert.Equal(t, len(f.source.reads), reads+1, "it is read immediately, and only once")
		assert.Equal(t, f.version(), int64(2))
	})
}

// TestConfigurationConfirmedAtSending checks that the time of a confirmation, as sent to peers, does
// not depend on the duration of the transfer.
func TestConfigurationConfirmedAtSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigurationFixture()
		f.source.transferTime = 600 * time.Millisecond
		f.runFor(t, 700*time.Millisecond)
		confirmed, ok := f.lease.Confirmed()
		assert.Assert(t, ok)
		assert.Equal(t, confirmed, f.source.reads[0])
	})
}

// TestConfigurationCompared checks that a large configuration is read conditionally, that an unchanged
// one renews the lease, and that a change takes effect.
func TestConfigurationCompared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigurationFixture()
		f.source.size = 1 << 20
		f.runFor(t, 3500*time.Millisecond)
		assert.Equal(t, len(f.source.reads), 1)
		assert.Equal(t, f.source.compared, 3)
		assert.Equal(t, f.leaseRemaining(), 3500*time.Millisecond)

		f.source.version = 2
		f.runFor(t, time.Second)
		assert.Equal(t, f.version(), int64(2))
	})
}

// TestConfigurationNotCompared checks that a large configuration is read unconditionally after two
// failures, after two stale answers, and if a peer has a newer one.
func TestConfigurationNotCompared(t *testing.T) {
	for name, change := range map[string]func(*testing.T, *configurationFixture){
		"two failures": func(t *testing.T, f *configurationFixture) {
			f.source.err, f.source.compareErr = errors.New("unavailable"), errors.New("unavailable")
			f.runFor(t, 1400*time.Millisecond)
			f.source.err, f.source.compareErr = nil, nil
		},
		"two stale answers": func(t *testing.T, f *configurationFixture) {
			f.revision.recordAnswer(9)
			f.runFor(t, time.Second)
			f.source.revision = 9
		},
		"a peer has a newer one": func(_ *testing.T, f *configurationFixture) {
			f.source.version = 2
			f.mergePeerConfirmation(time.Now(), netip.AddrPort{}, 2, 0)
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newConfigurationFixture()
			f.source.size = 1 << 20
			f.runFor(t, 100*time.Millisecond)
			change(t, f)
			compared, reads := f.source.compared, len(f.source.reads)
			f.runFor(t, 500*time.Millisecond)
			assert.Equal(t, f.source.compared, compared, name)
			assert.Equal(t, len(f.source.reads), reads+1, name)
			assert.Assert(t, f.reliable(time.Now()), name)
		})
	}
}

// TestConfigurationLate checks that a configuration that arrived later than a change may take is not
// used before it is confirmed: a newer one may exist.
func TestConfigurationLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigurationFixture()
		f.source.size, f.source.transferTime = 1<<20, 2500*time.Millisecond
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.runFor(t, 3*time.Second)
		}()
		time.Sleep(f.source.transferTime + time.Millisecond)
		version, superseded := f.version(), f.superseded(time.Now())
		time.Sleep(100 * time.Millisecond)
		confirmed := !f.superseded(time.Now())
		<-done
		assert.Equal(t, version, int64(1))
		assert.Assert(t, superseded)
		assert.Assert(t, confirmed)
		assert.Assert(t, f.source.compared > 0)
	})
}

// TestConfigurationContradictedReport checks that a peer's report of a version that the source does
// not have is dropped, that it counts again if repeated, and that the contradicting answer does not
// renew the lease.
func TestConfigurationContradictedReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigurationFixture()
		f.source.size = 1 << 20
		f.runFor(t, 100*time.Millisecond)
		f.mergePeerConfirmation(time.Now(), netip.AddrPort{}, 99, 0)
		f.runFor(t, 100*time.Millisecond)
		assert.Equal(t, f.leaseRemaining(), 3800*time.Millisecond)
		f.runFor(t, 3500*time.Millisecond)
		assert.Equal(t, f.source.compared, 3, "conditional reads resume after a second")
		assert.Assert(t, f.reliable(time.Now()))
		reads := len(f.source.reads)
		f.mergePeerConfirmation(time.Now(), netip.AddrPort{}, 99, 0)
		f.runFor(t, 100*time.Millisecond)
		assert.Equal(t, len(f.source.reads), reads+1)
	})
}

// TestConfigurationBehindPeers checks that a source that lags behind the version that peers keep
// reporting does not renew the lease, so that the old version is not used for too long.
func TestConfigurationBehindPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigurationFixture()
		f.runFor(t, 100*time.Millisecond)
		for range 30 {
			f.mergePeerConfirmation(time.Now(), netip.AddrPort{}, 2, 0)
			f.runFor(t, 100*time.Millisecond)
			f.revision.recordAnswer(5) // by the list of endpoints
		}
		assert.Assert(t, f.superseded(time.Now()))
		assert.Equal(t, f.leaseRemaining(), 900*time.Millisecond)
	})
}

// TestConfigurationAfterOutage checks that an unchanged large configuration is not transferred again
// after a failed read or an outage.
func TestConfigurationAfterOutage(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 2200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := newConfigurationFixture()
			f.source.size = 1 << 20
			f.runFor(t, 100*time.Millisecond)
			f.source.err, f.source.compareErr = errors.New("unavailable"), errors.New("unavailable")
			f.runFor(t, outage)
			f.source.err, f.source.compareErr = nil, nil
			compared, reads := f.source.compared, len(f.source.reads)
			f.runFor(t, 500*time.Millisecond)
			assert.Equal(t, f.source.compared, compared+1, "after %s", outage)
			assert.Equal(t, len(f.source.reads), reads, "after %s", outage)
			assert.Assert(t, f.reliable(time.Now()), "after %s", outage)
		})
	}
}

// TestConfigurationRefusedComparison checks that the lease does not end if the source rejects
// conditional reads: the configuration is read unconditionally.
func TestConfigurationRefusedComparison(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigurationFixture()
		f.source.size, f.source.transferTime = 1<<20, 1200*time.Millisecond
		f.source.compareErr = errors.New("too many writes")
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.runFor(t, 20*time.Second)
		}()
		time.Sleep(f.source.transferTime)
		for range 180 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, f.reliable(time.Now()))
		}
		<-done
		assert.Equal(t, f.source.compared, 0)
		f.source.version = 2
		f.mergePeerConfirmation(time.Now(), netip.AddrPort{}, 2, 0)
		f.runFor(t, 1300*time.Millisecond)
		assert.Equal(t, f.version(), int64(2))
	})
}

// TestConfigurationRemoved checks that an answer without a configuration, after there was one, does
// not renew the lease.
func TestConfigurationRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigurationFixture()
		f.runFor(t, 100*time.Millisecond)
		f.source.version = 0
		f.runFor(t, 4*time.Second)
		assert.Assert(t, !f.reliable(time.Now()))
	})
}

// TestConfigurationReportedWhileRead checks that a version that peers report while it is being read
// does not cause another read.
func TestConfigurationReportedWhileRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigurationFixture()
		f.runFor(t, 10*time.Millisecond)
		f.source.version = 2
		f.mergePeerConfirmation(time.Now(), netip.AddrPort{}, 2, 0)
		f.runFor(t, 100*time.Millisecond)
		reads := len(f.source.reads)
		assert.Equal(t, f.version(), int64(2))
		f.wake <- struct{}{} // sent while version 2 was being read
		f.runFor(t, 500*time.Millisecond)
		assert.Equal(t, len(f.source.reads), reads)
	})
}

// TestConfigurationSuperseded checks that a configuration is not used longer than two seconds after
// its last confirmation if a peer has reported a newer one that can't be read from a source that
// answers; and that it is used again once the source is unreachable, or the newer one is in force.
func TestConfigurationSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigurationFixture()
		f.runFor(t, 100*time.Millisecond)
		f.mergePeerConfirmation(time.Now(), netip.AddrPort{}, 1, 0)
		assert.Assert(t, !f.superseded(time.Now().Add(time.Hour)), "the peer has the same version")
		f.source.err = errors.New("connection closed")
		f.mergePeerConfirmation(time.Now(), netip.AddrPort{}, 2, 0)
		f.runFor(t, 1899*time.Millisecond)
		f.revision.recordAnswer(6) // by the list of endpoints
		assert.Assert(t, !f.superseded(time.Now()))
		f.mergePeerConfirmation(time.Now(), netip.AddrPort{}, 3, 0)
		f.runFor(t, time.Millisecond)
		assert.Assert(t, f.superseded(time.Now()), "the time counts from its last confirmation")
		f.runFor(t, 2999*time.Millisecond)
		assert.Assert(t, !f.superseded(time.Now()), "the source is unreachable")
		f.source.err, f.source.version, f.source.revision = nil, 3, 7
		f.runFor(t, time.Second)
		assert.Equal(t, f.version(), int64(3))
		assert.Assert(t, !f.superseded(time.Now()))
	})
}

// TestConfigurationSupersededAgain checks that a configuration that was superseded during its transfer
// is not used longer than bounds.configuration after the newer one was accepted.
func TestConfigurationSupersededAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigurationFixture()
		f.runFor(t, 100*time.Millisecond)
		f.source.transferTime = 1500 * time.Millisecond
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.runFor(t, 4*time.Second)
		}()
		f.source.version = 2
		f.mergePeerConfirmation(time.Now(), netip.AddrPort{}, 2, 0)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		accepted := time.Now()
		f.source.version = 3
		f.mergePeerConfirmation(accepted, netip.AddrPort{}, 3, 0)
		time.Sleep(time.Until(accepted.Add(f.changeTimeout)))
		used, superseded := f.version(), f.superseded(time.Now())
		<-done
		assert.Equal(t, used, int64(2))
		assert.Assert(t, superseded)
		assert.Equal(t, f.version(), int64(3))
		assert.Assert(t, !f.superseded(time.Now()))
	})
}
