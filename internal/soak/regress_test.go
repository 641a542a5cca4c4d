package soak

import (
	"fmt"
	"net/http"
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
