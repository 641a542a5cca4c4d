package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// poison is the fingerprint of a poison request.
var poison = FingerprintOf("bank", "/stream/a", []byte("body"))

// The turns of the tests.
var anyTurn, noTurn = Turn{Request: true, Part: true}, Turn{}

// subject returns a subject with some fingerprints.
func subject(account uint32, fingerprints ...Fingerprint) *Subject {
	return &Subject{Account: account, Fingerprints: fingerprints}
}

// crashUntilHeld records enough crashes for a request to be held, one each second.
func crashUntilHeld(t *Table, fingerprint Fingerprint, account uint32, second float64) {
	for i := range crashesToHold {
		began := second + float64(i)
		t.RecordCrash(at(began+0.5), subject(account, fingerprint), Crash{Endpoint: uint32(i), Began: at(began), Ended: at(began + 0.5)})
	}
}

// TestCheck checks the decisions on a request from its first crash to a successful trial.
func TestCheck(t *testing.T) {
	table := New()
	assert.Assert(t, !table.MayMatch(poison.Filter()))
	crashUntilHeld(table, poison, 1, 0)
	assert.Assert(t, table.MayMatch(poison.Filter()))
	assert.DeepEqual(t, table.Check(at(3), subject(1, poison), anyTurn), Decision{Held: true, By: []Fingerprint{poison}, RetryAfter: trialDelay - 500*time.Millisecond})
	assert.DeepEqual(t, table.Check(at(3), subject(1, FingerprintOf("church", "/stream/a", []byte("body"))), anyTurn), Decision{})

	due := at(2.5).Add(trialDelay)
	assert.DeepEqual(t, table.Check(due, subject(1, poison), noTurn), Decision{Held: true, By: []Fingerprint{poison}, RetryAfter: trialDuration})
	trial := table.Check(due, subject(1, poison), anyTurn)
	assert.Assert(t, trial.Trial && !trial.Held)
	assert.Equal(t, trial.Records[0].Trials, 1)
	assert.DeepEqual(t, table.Check(due, subject(1, poison), anyTurn), Decision{Held: true, By: []Fingerprint{poison}, RetryAfter: trialDelayFactor * trialDelay})
	assert.DeepEqual(t, table.RecordSuccess(due.Add(time.Second), subject(1, poison), true), []Fingerprint{poison})
	assert.DeepEqual(t, table.Check(due.Add(time.Second), subject(1, poison), noTurn), Decision{})
	assert.Equal(t, len(table.Held()), 0)
}

// TestTrials checks that a poison request that keeps coming is tried maxTrials times and never again.
func TestTrials(t *testing.T) {
	table := New()
	crashUntilHeld(table, poison, 1, 0)
	trials := 0
	for minute := range 24 * 60 {
		if table.Check(at(float64(60*minute)), subject(1, poison), anyTurn).Trial {
			trials++
		}
	}
	assert.Equal(t, trials, maxTrials)
}

// TestGossipReachesAll checks that the record of one router reaches all others within a limited number of rounds,
// and that a router that starts later receives it.
func TestGossipReachesAll(t *testing.T) {
	for _, routers := range []int{4, 27, 103, 390} {
		tables := make([]*Table, routers)
		for i := range tables {
			tables[i] = New()
		}
		crashUntilHeld(tables[0], poison, 1, 0)
		rounds := 0
		for countHolding(tables, poison) < routers {
			rounds++
			assert.Assert(t, rounds < 20, "%d routers", routers)
			for i, table := range tables {
				records := table.Outgoing(at(3), 6)
				for k := range min(8, routers-1) {
					tables[(i+1+(k*k*7+rounds*13+i*5)%(routers-1))%routers].Merge(at(3), records)
				}
			}
		}
		t.Logf("%d routers: %d rounds", routers, rounds)
		joined := New()
		for _, table := range tables {
			for range 2 * sendsPerChange {
				joined.Merge(at(4), table.Outgoing(at(4), 6))
			}
		}
		assert.Equal(t, len(joined.Held()), 1)
	}
}

// countHolding returns the number of tables that hold a request.
func countHolding(tables []*Table, fingerprint Fingerprint) int {
	n := 0
	for _, table := range tables {
		if table.Check(at(3), subject(1, fingerprint), noTurn).Held {
			n++
		}
	}
	return n
}

// TestOutgoing checks that held records go out before others, that the limit is kept, and that held records are
// sent again in rotation.
func TestOutgoing(t *testing.T) {
	table := New()
	for i := range 20 {
		fingerprint := FingerprintOf("bank", fmt.Sprint(i), nil)
		table.RecordCrash(at(1), subject(1, fingerprint), Crash{Endpoint: 1, Began: at(0), Ended: at(1)})
	}
	crashUntilHeld(table, poison, 1, 2)
	first := table.Outgoing(at(5), 3)
	assert.Equal(t, len(first), 3)
	assert.Equal(t, first[0].Fingerprint, poison)
	for range 21 * sendsPerChange {
		table.Outgoing(at(5), 3)
	}
	later := table.Outgoing(at(6), 3)
	assert.Equal(t, len(later), 1)
	assert.Equal(t, later[0].Fingerprint, poison)
}

// TestExpiry checks that records of crashes expire, and those of held requests later.
func TestExpiry(t *testing.T) {
	table := New()
	table.RecordCrash(at(1), subject(1, FingerprintOf("bank", "/once", nil)), Crash{Endpoint: 1, Began: at(0), Ended: at(1)})
	crashUntilHeld(table, poison, 1, 0)
	table.Outgoing(at(1).Add(crashTTL), 1)
	assert.Equal(t, table.Len(), 1)
	table.Outgoing(at(2.5).Add(holdTTL), 1)
	assert.Equal(t, table.Len(), 0)
	assert.Assert(t, !table.MayMatch(poison.Filter()))
}

// TestEvictionPerAccount checks that an account with many poison requests neither exceeds the memory bound nor
// evicts another account's record.
func TestEvictionPerAccount(t *testing.T) {
	table := New()
	crashUntilHeld(table, poison, 1, 0)
	for i := range 3 * maxRecords {
		crashUntilHeld(table, FingerprintOf("other", fmt.Sprint(i), nil), 2, 10)
	}
	assert.Assert(t, table.Len() <= maxRecords && table.Len() > maxRecords*7/8)
	assert.Assert(t, table.Check(at(20), subject(1, poison), noTurn).Held)
}

// TestTableMemory logs the memory of a full table.
func TestTableMemory(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := New()
	for i := range maxRecords {
		crashUntilHeld(table, FingerprintOf(ryeford.AccountID(fmt.Sprint(i)), "/stream/a", nil), uint32(i), 0)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("%d records: %d KiB", table.Len(), (after.HeapAlloc-before.HeapAlloc)>>10)
}
