package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestDroppedStatus checks the status of an endpoint that is no longer listed.
func TestDroppedStatus(t *testing.T) {
	for _, test := range []struct {
		status         Status
		mayHaveExpired bool
		want           Status
	}{
		{StatusReady, false, StatusDeparted},
		{StatusReady, true, StatusSuspect},
		{StatusDraining, false, StatusGone},
		{StatusDraining, true, StatusGone},
		{StatusSuspect, false, StatusGone},
		{StatusSuspect, true, StatusSuspect},
		{StatusDeparted, false, StatusGone},
		{StatusDeparted, true, StatusGone},
	} {
		assert.Equal(t, droppedStatus(test.status, test.mayHaveExpired), test.want, "%+v", test)
	}
}

// TestStatus checks which statuses accept requests and which expire.
func TestStatus(t *testing.T) {
	for _, test := range []struct {
		status           Status
		accepts, expires bool
	}{
		{StatusReady, true, false},
		{StatusDraining, false, false},
		{StatusSuspect, true, true},
		{StatusDeparted, false, true},
		{StatusGone, false, false},
	} {
		assert.Equal(t, test.status.accepts(), test.accepts, "status %d", test.status)
		assert.Equal(t, test.status.expires(), test.expires, "status %d", test.status)
	}
}

// TestSuspectUntil checks that the suspect period ends before the router's freshness bounds apply again, and
// that there is none if the downtime was too short for an entry to expire.
func TestSuspectUntil(t *testing.T) {
	const contact = 3 * time.Second
	began := time.Unix(1000, 0)
	for _, test := range []struct {
		name              string
		lastFailed, ended time.Duration // since began
		want              time.Duration // since began, zero for none
	}{
		{"a rejected call", 0, 60 * time.Millisecond, 0},
		{"slightly too short", 300 * time.Millisecond, minOutageForExpiry - 1, 0},
		{"long enough", 300 * time.Millisecond, minOutageForExpiry, minOutageForExpiry + suspectDuration},
		{"an outage", 5 * time.Second, 5400 * time.Millisecond, 7400 * time.Millisecond},
		{"answered in time", 5 * time.Second, 5900 * time.Millisecond, 7900 * time.Millisecond},
		{"answered late", 5 * time.Second, 6200 * time.Millisecond, 7900 * time.Millisecond},
		{"answered after contact", 5 * time.Second, 9 * time.Second, 7900 * time.Millisecond},
	} {
		downtime := ryeford.Downtime{Began: began, LastFailed: began.Add(test.lastFailed), Ended: began.Add(test.ended)}
		want := began.Add(test.want)
		if test.want == 0 {
			want = time.Time{}
		}
		assert.Equal(t, SuspectUntil(&downtime, contact), want, test.name)
	}
}
