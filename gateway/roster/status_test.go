package roster

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestDroppedStatus checks the status of an endpoint that is no longer on the list.
func TestDroppedStatus(t *testing.T) {
	for _, test := range []struct {
		status      Status
		afterOutage bool
		want        Status
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
		assert.Equal(t, droppedStatus(test.status, test.afterOutage), test.want, "%+v", test)
	}
}

// TestStatus checks which statuses accept requests, which expire, and after how long.
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
	assert.Equal(t, DefaultTTLs().ttl(StatusSuspect), suspectTTL)
	assert.Equal(t, DefaultTTLs().ttl(StatusDeparted), departedTTL)
}
