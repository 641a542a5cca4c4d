package quarantine

import (
	"slices"
	"time"
)

const (
	// groupTolerance is the maximum time between the crashes of endpoints that have one cause, such as a lost failure
	// domain.
	groupTolerance = 100 * time.Millisecond
	// maxEndings is the maximum number of crashes of endpoints that are remembered, the latest ones.
	maxEndings = 4096
)

// An Ending is the crash of an endpoint, whatever ran there.
type Ending struct {
	Endpoint uint32 // the low half of route.NameHash of its ID
	At       time.Time
}

// A knownEnding is an ending and its send state.
type knownEnding struct {
	Ending
	sendsLeft int // number of further messages to include the ending in
}

// endings are the crashes of endpoints that this router knows of, by time.
type endings []knownEnding

// add adds the crash of an endpoint, unless it is known.
func (e *endings) add(added Ending) {
	latest := added.At.Add(timeTolerance)
	for k := e.search(added.At.Add(-timeTolerance)); k < len(*e) && !(*e)[k].At.After(latest); k++ {
		if (*e)[k].Endpoint == added.Endpoint {
			return
		}
	}
	*e = slices.Insert(*e, e.search(added.At), knownEnding{added, sendsPerChange})
	if len(*e) > maxEndings {
		*e = slices.Delete(*e, 0, maxEndings/4)
	}
}

// outgoing returns the endings to include in the next message to peers, the latest first, up to limit.
func (e *endings) outgoing(limit int) []Ending {
	var result []Ending
	for k := len(*e) - 1; k >= 0 && len(result) < limit; k-- {
		if known := &(*e)[k]; known.sendsLeft > 0 {
			known.sendsLeft--
			result = append(result, known.Ending)
		}
	}
	return result
}

// search returns the index of the first crash at or after a time.
func (e *endings) search(at time.Time) int {
	i, _ := slices.BinarySearchFunc(*e, at, func(e knownEnding, at time.Time) int { return e.At.Compare(at) })
	return i
}

// grouped reports whether an endpoint crashed at the same time as another one at which the record's requests did not
// run, so that something else was the cause.
func (e *endings) grouped(crash Crash, r *Record) bool {
	for k := e.search(crash.Ended.Add(-groupTolerance)); k < len(*e); k++ {
		other := (*e)[k]
		if other.At.After(crash.Ended.Add(groupTolerance)) {
			return false
		}
		if other.Endpoint != crash.Endpoint && !r.crashedAt(other.Ending) {
			return true
		}
	}
	return false
}

// crashedAt reports whether requests of the record ran on an endpoint when it crashed, or may have: a record does not
// list all crashes.
func (r *Record) crashedAt(other Ending) bool {
	listed := func(crash Crash) bool {
		return crash.Endpoint == other.Endpoint && crash.Ended.Sub(other.At).Abs() < timeTolerance
	}
	return slices.ContainsFunc(r.Crashes, listed) || unlisted(r.Crashes, other.At)
}

// ending returns the end of the endpoint that crashed.
func (c Crash) ending() Ending { return Ending{c.Endpoint, c.Ended} }

// OutgoingEndings returns the crashes of endpoints to include in the next message to peers, the latest first, up to
// limit.
func (t *Table) OutgoingEndings(limit int) []Ending {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endings.outgoing(limit)
}

// MergeEndings adds crashes of endpoints that a peer knows of.
func (t *Table) MergeEndings(endings []Ending) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ending := range endings {
		t.endings.add(ending)
	}
}

// ungrouped returns the crashes of a record that did not come together with others. t.mu is held.
func (t *Table) ungrouped(e *entry) []Crash {
	var result []Crash
	for _, crash := range e.Crashes {
		if !t.endings.grouped(crash, &e.Record) {
			result = append(result, crash)
		}
	}
	return result
}
