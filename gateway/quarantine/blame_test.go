package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// The parts of the tests of blame.
var (
	partA = PartFingerprint(0xa)
	partB = PartFingerprint(0xb)
	partC = PartFingerprint(0xc)
)

// A ran is an attempt that ran on an endpoint that crashed.
type ran struct {
	endpoint     uint32
	began, ended float64 // seconds
	account      uint32
	parts        []Fingerprint
}

// crash records crashes at a table.
func crash(table *Table, attempts ...ran) {
	for _, a := range attempts {
		table.RecordCrash(at(a.ended), subject(a.account, a.parts...), Crash{Endpoint: a.endpoint, Began: at(a.began), Ended: at(a.ended)})
	}
}

// held reports whether a table holds a request at a time in seconds.
func held(table *Table, second float64, account uint32, parts ...Fingerprint) bool {
	return table.Check(at(second), subject(account, parts...), noTurn).Held
}

// together returns attempts with parts that crash n endpoints one after the other, one each second.
func together(n int, parts ...Fingerprint) []ran {
	var result []ran
	for i := range n {
		began := float64(i)
		result = append(result, ran{uint32(100 + i), began, began + 0.5, 1, parts})
	}
	return result
}

// TestCompanion guards against holding a sound part that always came with a poison one.
func TestCompanion(t *testing.T) {
	table := New()
	crash(table, together(6, partA, partB)...)
	assert.Assert(t, held(table, 6, 1, partA, partB))
	assert.Assert(t, !held(table, 6, 1, partB), "sound until it has crashed endpoints alone")
	assert.Assert(t, !held(table, 6, 1, partA), "nothing tells which of the two is the cause")
	crash(table, ran{7, 6, 6.5, 1, []Fingerprint{partA}}, ran{8, 7, 7.5, 1, []Fingerprint{partA}})
	assert.Assert(t, held(table, 8, 1, partA), "two endpoints crashed without the companion")
	assert.Assert(t, !held(table, 8, 1, partB))
	table.RecordSuccess(at(9), subject(1, partB), true)
	assert.Assert(t, !held(table, 9, 1, partB))
	assert.Assert(t, held(table, 9, 1, partA, partC), "the success concerns the other part only")
}

// TestRanBeside guards against holding parts whose requests only ran beside poison ones.
func TestRanBeside(t *testing.T) {
	beside := func(n int) []ran {
		var result []ran
		for i := range n {
			result = append(result, ran{uint32(100 + i), float64(i) - 0.3, float64(i) + 0.5, 2, []Fingerprint{partB}})
		}
		return result
	}
	for _, test := range []struct {
		name       string
		by, beside []ran
		held       bool // the part that ran beside
	}{
		{"at all crashes of a few", together(3, partA), beside(3), false},
		{"at most crashes", together(7, partA), beside(5), false},
		{"at all crashes of many: nothing tells which is the cause", together(6, partA), beside(6), true},
		{"at more crashes than the other", together(3, partA), beside(6), true},
	} {
		table := New()
		crash(table, test.by...)
		crash(table, test.beside...)
		assert.Equal(t, held(table, 9, 2, partB), test.held, test.name)
		assert.Assert(t, held(table, 9, 1, partA, partB), test.name)
	}
}

// TestSeveralRequests guards against poison requests that explain each other's crashes because they run at the same time:
// each of them is held after three.
func TestSeveralRequests(t *testing.T) {
	table := New()
	other := FingerprintOf("bank", "/stream/b", nil)
	crash(table, together(3, poison)...)
	crash(table, together(3, other)...)
	assert.Assert(t, held(table, 4, 1, poison))
	assert.Assert(t, held(table, 4, 1, other))
}

// TestManyCrashes guards against holding parts whose crashes a poison part no longer lists, because it has too many.
func TestManyCrashes(t *testing.T) {
	table := New()
	crash(table, together(3*MaxCrashes, partA)...)
	for i := range 4 {
		second := float64(10 + 4*i)
		crash(table, ran{uint32(110 + 4*i), second - 0.3, second + 0.5, 1, []Fingerprint{partB}})
	}
	assert.Assert(t, held(table, 60, 1, partA))
	assert.Assert(t, !held(table, 60, 1, partB))
}

// TestAccountOfPart guards against an account that makes others' parts look poisonous: until a request of another
// account has crashed an endpoint, only the first account's requests are held.
func TestAccountOfPart(t *testing.T) {
	table, peer := New(), New()
	crash(table, together(3, partA)...)
	assert.Assert(t, held(table, 4, 1, partA))
	assert.Assert(t, !held(table, 4, 2, partA))
	peer.Merge(at(4), table.Outgoing(at(4), 6))
	assert.Assert(t, held(peer, 4, 1, partA))
	assert.Assert(t, !held(peer, 4, 2, partA))
	crash(peer, ran{9, 5, 5.5, 2, []Fingerprint{partA}})
	table.Merge(at(6), peer.Outgoing(at(6), 6))
	for _, account := range []uint32{1, 2, 3} {
		assert.Assert(t, held(table, 6, account, partA))
		assert.Assert(t, held(peer, 6, account, partA))
	}
}

// TestSuccessOfPart checks which successes count for a part, and in whatever order its crashes are reported.
func TestSuccessOfPart(t *testing.T) {
	held3 := func() *Table {
		table := New()
		crash(table, together(3, partA)...)
		return table
	}
	table := held3()
	table.RecordSuccess(at(4), subject(1, partA), false)
	assert.Assert(t, held(table, 4, 1, partA), "nothing was generated")
	table.RecordSuccess(at(4), subject(1, partA), true)
	assert.Assert(t, !held(table, 4, 1, partA))

	// A router that has seen the success corrects the one that has seen the crashes.
	crashes, success := held3(), New()
	success.RecordSuccess(at(4), subject(1, partA), true)
	success.Merge(at(5), crashes.Outgoing(at(5), 6))
	assert.Assert(t, !held(success, 5, 1, partA))
	crashes.Merge(at(5), success.Outgoing(at(5), 6))
	assert.Assert(t, !held(crashes, 5, 1, partA))

	// A success while the attempts ran: they are no evidence.
	early := New()
	early.RecordSuccess(at(2.9), subject(1, partA), true)
	crash(early, ran{1, 2.5, 3, 1, []Fingerprint{partA}})
	assert.Equal(t, early.Len(), 0)

	// A success that a peer reports within a second of one that is known still clears the crashes before it.
	table = New()
	table.Merge(at(1), []Record{{Fingerprint: partA, LastSuccess: at(1)}})
	crash(table, ran{1, 1.1, 1.2, 1, []Fingerprint{partA}}, ran{2, 1.3, 1.4, 1, []Fingerprint{partA}}, ran{3, 1.5, 1.6, 1, []Fingerprint{partA}})
	assert.Assert(t, held(table, 2, 1, partA))
	table.Merge(at(2), []Record{{Fingerprint: partA, LastSuccess: at(1.8)}})
	assert.Assert(t, !held(table, 2, 1, partA))
}

// TestReleased guards against calls of the store for each suspected part that succeeds: only what is held, or was stored,
// is released.
func TestReleased(t *testing.T) {
	table := New()
	crash(table, together(6, partA)...)
	crash(table, ran{100, -0.3, 0.5, 2, []Fingerprint{partB}}, ran{101, 0.7, 1.5, 2, []Fingerprint{partB}}, ran{102, 1.7, 2.5, 2, []Fingerprint{partB}})
	assert.Assert(t, !held(table, 6, 2, partB), "the other part explains it")
	assert.Equal(t, len(table.RecordSuccess(at(7), subject(1, partC), true)), 0)
	assert.DeepEqual(t, table.RecordSuccess(at(7), subject(1, partA), true), []Fingerprint{partA})
	assert.Equal(t, len(table.RecordSuccess(at(8), subject(1, partA), true)), 0, "once")

	grouped := New()
	for i := range 4 {
		second := float64(2 * i)
		crash(grouped, ran{uint32(300 + i), second, second + 0.5, 1, []Fingerprint{partB}}, ran{uint32(400 + i), second, second + 0.51, 1, []Fingerprint{partC}})
	}
	assert.Equal(t, len(grouped.RecordSuccess(at(9), subject(1, partB), true)), 0, "its endpoints crashed together with others")
}

// TestSuccessBeforeHold checks that a hold ends if a success is reported late that refutes the crashes that led to it.
func TestSuccessBeforeHold(t *testing.T) {
	table := New()
	crash(table, together(3, partA)...)
	peer := Record{Fingerprint: partA, LastSuccess: at(2.2)}
	table.Merge(at(4), []Record{peer})
	assert.Assert(t, !held(table, 4, 1, partA))
	hold := Record{Fingerprint: partA, Account: 1, HeldSince: at(2.5)}
	for _, attempt := range together(3) {
		hold.add(Crash{Endpoint: attempt.endpoint, Began: at(attempt.began), Ended: at(attempt.ended)})
	}
	table.Merge(at(4), []Record{hold})
	assert.Assert(t, !held(table, 4, 1, partA), "a peer that does not know of the success")
}

// TestPartTrials checks that a held part is tried soon, once, and then as rarely as a request, and what callers are told
// meanwhile.
func TestPartTrials(t *testing.T) {
	table := New()
	crash(table, together(3, partA)...)
	check := func(second float64, turn Turn) Decision { return table.Check(at(second), subject(1, partA), turn) }
	assert.DeepEqual(t, check(3, anyTurn), Decision{Held: true, By: []Fingerprint{partA}, RetryAfter: 500 * time.Millisecond})
	assert.DeepEqual(t, check(3.5, noTurn), Decision{Held: true, By: []Fingerprint{partA}, RetryAfter: partTrialDuration})
	assert.Assert(t, check(5, anyTurn).Trial)
	assert.DeepEqual(t, check(6, anyTurn), Decision{Held: true, By: []Fingerprint{partA}, RetryAfter: partTrialDuration})
	assert.Equal(t, check(20, anyTurn).RetryAfter, trialDelay-15*time.Second)
	trials := 1
	for minute := range 24 * 60 {
		if check(float64(60*minute+60), anyTurn).Trial {
			trials++
		}
	}
	assert.Equal(t, trials, maxTrials)
}

// TestHeldByStore checks that a part that was read from the store is held without the crashes that led to it.
func TestHeldByStore(t *testing.T) {
	table := New()
	crash(table, together(6, partB)...)
	table.Merge(at(7), []Record{{Fingerprint: partA, Account: 1, HeldSince: at(6)}})
	assert.Assert(t, held(table, 7, 1, partA))
	assert.Assert(t, held(table, 7, 1, partB), "it explains nothing")
}

// TestPartFingerprints checks that the last part has no fingerprint, that repeated parts have one, and that their number
// is bounded.
func TestPartFingerprints(t *testing.T) {
	part := func(ids ...uint64) []ryeford.PromptPart {
		var parts []ryeford.PromptPart
		for _, id := range ids {
			parts = append(parts, ryeford.PromptPart{ID: id})
		}
		return parts
	}
	assert.Equal(t, len(PartFingerprints(nil)), 0)
	assert.Equal(t, len(PartFingerprints(part(1))), 0)
	assert.DeepEqual(t, PartFingerprints(part(0xa, 0xb, 0xa, 0xc)), []Fingerprint{partA, partB})
	assert.Equal(t, len(PartFingerprints(make([]ryeford.PromptPart, 5000))), 1)
	var many []ryeford.PromptPart
	for i := range uint64(5000) {
		many = append(many, ryeford.PromptPart{ID: i})
	}
	assert.Equal(t, len(PartFingerprints(many)), MaxParts)
	assert.Equal(t, partA.String(), "part:a")
	assert.Assert(t, partA.IsPart() && !poison.IsPart())
}

// TestAttackWithFreshParts guards against an account whose poison requests have fresh parts each time: neither memory
// grows nor does another account's record go.
func TestAttackWithFreshParts(t *testing.T) {
	table := New()
	crash(table, ran{1, 0, 0.5, 1, []Fingerprint{partA}}, ran{2, 1, 1.5, 1, []Fingerprint{partA}}, ran{3, 2, 2.5, 1, []Fingerprint{partA}})
	for i := range 400 {
		var parts []Fingerprint
		for k := range MaxParts {
			parts = append(parts, PartFingerprint(uint64(1000+MaxParts*i+k)))
		}
		crash(table, ran{uint32(10 + i), float64(10 + i), float64(10+i) + 0.5, 2, parts})
	}
	assert.Assert(t, table.Len() <= maxRecords)
	assert.Assert(t, held(table, 500, 1, partA))
	assert.Equal(t, len(table.Outgoing(at(500), 6)), 6)
}

// BenchmarkCheck measures a decision on a request with three parts while nothing is held, and while one part is.
func BenchmarkCheck(b *testing.B) {
	request := subject(1, PartFingerprint(1), PartFingerprint(2), PartFingerprint(3))
	empty, suspicious := New(), New()
	crash(suspicious, together(3, partA)...)
	for name, table := range map[string]*Table{"nothing held": empty, "another held": suspicious} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if !table.Empty() {
					table.Check(at(5), request, noTurn)
				}
			}
		})
	}
	b.Run("success", func(b *testing.B) {
		for b.Loop() {
			empty.RecordSuccess(at(5), request, true)
		}
	})
}
