package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// checkRegress checks that no process serves by an older version than one it has already
// served by, whatever faults were injected.
func checkRegress(c *call, record *runRecord) string {
	if c.probedVersion == 0 || c.incarnation == 0 {
		return ""
	}
	newestServed := record.newestServed(c)
	_, newest := record.versions(c)
	switch {
	case c.status == http.StatusOK && c.probedVersion < newestServed:
		return fmt.Sprintf("served by version %d by a process that had already served by version %d", c.probedVersion, newestServed)
	case c.status == http.StatusNotFound && c.probedVersion == newestServed && newestServed == newest:
		return fmt.Sprintf("404 on a route of version %d by a process that had already served by it", newestServed)
	}
	return ""
}

// newestServed returns the newest version by which the process of a call had served before
// the call was sent, or 0.
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

// TestRegress guards against a gateway that returns to an older version when its reads of
// the store alternate between newer and older rows and no peer notifies it of the newer
// version.
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
	assert.Equal(t, record.newestServed(&call{incarnation: 1, sent: time.Now()}), 2, "the newer version never came into force")
	assert.Assert(t, strings.Contains(f.gateways[0].log.From(0), "stale answer"), "no read returned older rows")
}
