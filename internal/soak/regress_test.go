package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// checkRegress checks that a call was not handled by an older version than one by which
// the same process had served before, whatever faults have struck.
func checkRegress(c *call, seen *evidence) string {
	if c.probes == 0 || c.life == 0 {
		return ""
	}
	shown := seen.shown(c)
	_, newest := seen.versions(c)
	switch {
	case c.status == http.StatusOK && c.probes < shown:
		return fmt.Sprintf("served by version %d, by a process that had served by version %d", c.probes, shown)
	case c.status == http.StatusNotFound && c.probes == shown && shown == newest:
		return fmt.Sprintf("404 on a route of version %d, by a process that had served by it", shown)
	}
	return ""
}

// shown returns the newest version by which the process of a call had served before the
// call was sent, or zero.
func (e *evidence) shown(c *call) int {
	shown := 0
	for i := range e.calls {
		other := &e.calls[i]
		same := other.gateway == c.gateway && other.life == c.life
		if same && other.status == http.StatusOK && other.ended.Before(c.sent) {
			shown = max(shown, other.probes)
		}
	}
	return shown
}

// TestRegress checks that a gateway that has served by a version serves by no older one
// afterwards, while its reads of the store show newer and older rows by turns. It has no
// peer that would tell it at once. It fails too if no read showed older rows.
func TestRegress(t *testing.T) {
	f := newFleet(t, &seriesPlan, 1)
	in := newInjector(f, &seriesPlan)
	in.post(`{"lagging":true}`)
	in.configure(nil, 0)
	client := &http.Client{Timeout: callTime}
	defer client.CloseIdleConnections()
	seen := in.evidence(0)
	for limit := time.Now().Add(2 * maxStoreFault); time.Now().Before(limit); time.Sleep(conditionPoll) {
		for _, version := range []int{1, 2} {
			one := call{id: fmt.Sprintf("%s-%d", probeID(0), version), route: probeRoute(version), probes: version, life: 1}
			f.send(client, &one)
			if problem := checkRegress(&one, seen); problem != "" {
				t.Errorf("%s", problem)
			}
			seen.calls = append(seen.calls, one)
		}
	}
	assert.Equal(t, seen.shown(&call{life: 1, sent: time.Now()}), 2, "the newer version was never in force")
	assert.Assert(t, strings.Contains(f.gateways[0].log.From(0), "stale answer"), "no read showed older rows")
}
