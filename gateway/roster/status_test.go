package roster

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestDroppedStatus states what becomes of an endpoint that the list names no
// longer.
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

// TestStatus states what each status allows, and for how long it lasts.
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
