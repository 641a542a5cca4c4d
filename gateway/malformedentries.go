package gateway

import "github.com/ryeford/ryeford"

// maxMalformed is the maximum number of malformed entries that are remembered to log each only once.
const maxMalformed = 1024

// logMalformed logs and counts entries that can't be parsed as endpoints, once until the entry is
// valid again.
func (l *endpointList) logMalformed(update *ryeford.EndpointUpdate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range update.Present {
		delete(l.malformed, update.Present[i].ID.Name())
	}
	for _, entry := range update.Malformed {
		if l.malformed[entry.Name] {
			continue
		}
		if l.malformed == nil || len(l.malformed) >= maxMalformed {
			l.malformed = make(map[ryeford.EndpointID]bool)
		}
		l.malformed[entry.Name] = true
		l.metrics.Count("ryeford_malformed_entries_total", "")
		_ = l.log.Log("decision", "endpoints", "malformed", entry.Name, "err", entry.Err)
	}
}
