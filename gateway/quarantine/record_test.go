package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// at returns a time, given in seconds.
func at(seconds float64) time.Time {
	return time.Unix(10_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// crashed returns a record with crashes of different endpoints. Each interval is the start and the end of an
// attempt, in seconds.
func crashed(intervals ...[2]float64) *Record {
	record := &Record{}
	for i, interval := range intervals {
		record.add(Crash{Endpoint: uint32(i), Began: at(interval[0]), Ended: at(interval[1])})
	}
	return record
}

// TestHold checks after which crashes requests are held, whatever other crashes overlap them and in whatever order
// they are reported.
func TestHold(t *testing.T) {
	for _, test := range []struct {
		name   string
		record *Record
		held   bool
	}{
		{"none", crashed(), false},
		{"two", crashed([2]float64{0, 1}, [2]float64{2, 3}), false},
		{"three", crashed([2]float64{0, 1}, [2]float64{2, 3}, [2]float64{4, 5}), true},
		{"each right after the previous one", crashed([2]float64{0, 1}, [2]float64{1, 2}, [2]float64{2, 3}), true},
		{"the first is reported last", crashed([2]float64{4, 5}, [2]float64{2, 3}, [2]float64{0, 1}), true},
		{"five at once, as of a failure domain", crashed([2]float64{0, 1}, [2]float64{0, 1}, [2]float64{0.1, 1}, [2]float64{0.2, 1}, [2]float64{0.3, 1}), false},
		{"two groups of two at once", crashed([2]float64{0, 1}, [2]float64{0, 1}, [2]float64{2, 3}, [2]float64{2.5, 3}), false},
		{"groups of three and two at once", crashed([2]float64{0, 1}, [2]float64{0, 1}, [2]float64{0, 1}, [2]float64{2, 3}, [2]float64{2.5, 3}), true},
		{"three among overlapping ones", crashed([2]float64{0, 1}, [2]float64{0.5, 1.5}, [2]float64{1.2, 2}, [2]float64{1.8, 2.6}, [2]float64{2.1, 3}), true},
		{"one attempt overlaps all others", crashed([2]float64{0, 9}, [2]float64{1, 2}, [2]float64{3, 4}), false},
	} {
		assert.Equal(t, !test.record.HeldSince.IsZero(), test.held, test.name)
	}
}

// TestSameEndpoint checks that one crash of an endpoint counts once, whatever the number of attempts and the order
// of reports, and that a crash after a restart under the same ID counts again.
func TestSameEndpoint(t *testing.T) {
	var record Record
	for i := range 5 {
		record.add(Crash{Endpoint: 7, Began: at(2 + float64(i)/10), Ended: at(3 + float64(i)/10)})
	}
	assert.Equal(t, len(record.Crashes), 1)
	record.add(Crash{Endpoint: 7, Began: at(6), Ended: at(6.5)})
	record.add(Crash{Endpoint: 7, Began: at(0), Ended: at(1)})
	assert.Equal(t, len(record.Crashes), 3)
	assert.Assert(t, !record.HeldSince.IsZero())
}

// TestSuccess checks that a success removes earlier crashes and the hold, and that late reports of these are
// ignored.
func TestSuccess(t *testing.T) {
	record := crashed([2]float64{0, 1}, [2]float64{2, 3}, [2]float64{4, 5})
	assert.Assert(t, record.recordSuccess(at(6)))
	assert.Assert(t, record.HeldSince.IsZero() && len(record.Crashes) == 0)
	late := crashed([2]float64{0, 1}, [2]float64{2, 3}, [2]float64{4, 5.5})
	assert.Assert(t, !record.merge(late))
	assert.Assert(t, record.HeldSince.IsZero() && len(record.Crashes) == 0)
	for i, interval := range [][2]float64{{7, 8}, {9, 10}, {11, 12}} {
		record.add(Crash{Endpoint: uint32(i), Began: at(interval[0]), Ended: at(interval[1])})
	}
	assert.Equal(t, record.HeldSince, at(12))
	assert.Assert(t, !record.merge(&Record{LastSuccess: at(6.01)}), "the same success in another message")
	assert.Equal(t, record.HeldSince, at(12))
}

// TestMerge checks that routers that each recorded one crash hold the requests after they have merged all records,
// in whatever order and however often.
func TestMerge(t *testing.T) {
	parts := []*Record{crashed([2]float64{0, 1}), {}, {}}
	parts[1].add(Crash{Endpoint: 11, Began: at(2), Ended: at(3)})
	parts[2].add(Crash{Endpoint: 12, Began: at(4), Ended: at(5)})
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 1, 2, 2, 0, 1}} {
		var record Record
		for _, i := range order {
			record.merge(parts[i])
		}
		assert.Equal(t, record.HeldSince, at(5))
		assert.Equal(t, len(record.Crashes), 3)
	}
	var receiver Record
	assert.Assert(t, receiver.merge(&Record{HeldSince: at(5)}), "a hold is merged without its crashes")
	assert.Equal(t, receiver.HeldSince, at(5))
}

// TestTrialDue checks when held requests are tried again, and that the number of trials is limited.
func TestTrialDue(t *testing.T) {
	record := Record{HeldSince: at(0)}
	for _, want := range []time.Duration{10 * time.Minute, time.Hour} {
		due, possible := record.trialDue()
		assert.Assert(t, possible)
		assert.Equal(t, due.Sub(later(record.HeldSince, record.LastTrial)), want)
		record.Trials, record.LastTrial = record.Trials+1, due
	}
	_, possible := record.trialDue()
	assert.Assert(t, !possible)
	assert.Equal(t, record.expires(), record.LastTrial.Add(holdTTL))
}
