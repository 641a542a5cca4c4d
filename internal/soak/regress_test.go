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
func checkRegress(c *call, record *runRecord) string {
	if c.probedVersion == 0 || c.incarnation == 0 {
		return ""
	}
	newestServed := record.newestServed(c)
	_, newest := record.versions(c)
	switch {
	case c.status == http.StatusOK && c.probedVersion < newestServed:
		return fmt.Sprintf("served by version %d, by a process that had served by version %d", c.probedVersion, newestServed)
	case c.status == http.StatusNotFound && c.probedVersion == newestServed && newestServed == newest:
		return fmt.Sprintf("404 on a route of version %d, by a process that had served by it", newestServed)
	}
	return ""
}

// shown returns the newest version by which the process of a call had served before the
// call was sent, or zero.
func (r *runRecord) newestServed(c *call) int {
	newestServed := 0
	for i := range r.calls {
		other := &r.calls[i]
		same := other.gateway == c.gateway && other.incarnation == c.incarnation
		if same && other.status == http.StatusOK && other.ended.Before(c.sent) {
			newestServed = max(newestServed, other.probedVersion)
		}
	}
	return newestServed
}

// TestRegress checks that a gateway that has served by a version serves by no older one
// afterwards, while its reads of the store show newer and older rows by turns. It has no
// peer that would tell it at once. It fails too if no read showed older rows.
func TestRegress(t *testing.T) {
	f := newFleet(t, &seriesPlan, 1)
	in := newInjector(f, &seriesPlan)
	in.post(`{"lagging":true}`)
	in.configure(nil, 0)
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	record := in.record(0)
	for limit := time.Now().Add(2 * maxStoreFault); time.Now().Before(limit); time.Sleep(conditionPollInterval) {
		for _, version := range []int{1, 2} {
			probe := call{id: fmt.Sprintf("%s-%d", probeID(0), version), route: probeRoute(version), probedVersion: version, incarnation: 1}
			f.send(client, &probe)
			if problem := checkRegress(&probe, record); problem != "" {
				t.Errorf("%s", problem)
			}
			record.calls = append(record.calls, probe)
		}
	}
	assert.Equal(t, record.newestServed(&call{incarnation: 1, sent: time.Now()}), 2, "the newer version was never in force")
	assert.Assert(t, strings.Contains(f.gateways[0].log.From(0), "stale answer"), "no read showed older rows")
}
