package streamversion

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

// Which versions may have begun a stream that is taken up now.
//
// Rule: a service has one possible version if a router has known the list of endpoints without a gap for as long as
// streams live, its copy is not older than Settle, and one version only may have begun streams in that time. A version
// may have begun streams from Settle after it was listed until it was last listed. Routers therefore send no new
// stream to a version for Settle after they have seen it, while a single other version serves.
//
// Why: while one version serves, streams are taken up without any message between routers. A router whose copy of the
// list is at most Settle old then knows of each version before any router begins a stream there.

// Limits are the parameters of a Tracker.
type Limits struct {
	// Memory is how long a stream may live, from its first event to the last time that it is taken up.
	Memory time.Duration
	// Settle is the maximum age of the list of endpoints at a router that is in touch with its source or a peer.
	Settle time.Duration
	// Restart is the maximum time from the start of an endpoint to its entry, or from the end of an outage of the list's
	// source in which it started.
	Restart time.Duration
	// Records is the maximum number of records that a router keeps.
	Records int
}

// A service is the low 32 bits of the hash of a service's name. Services with the same value count as one, which has
// the versions of both.
type service uint32

func serviceOf(name string) service { return service(route.NameHash(name)) }

// A History is what a router knows of the software versions that its services have run. It is safe for concurrent
// use. Its times are times of the monotonic clock.
type History struct {
	mu     sync.Mutex
	limits Limits
	// confirmed is the time as of which the list is known, and since the beginning of the period that ends there in
	// which it was known without a gap. Both are zero before the first list.
	confirmed, since time.Time
	// resumed is the first time as of which the list is known after the last outage of its source.
	resumed time.Time
	// gap means that the last list may lack endpoints that came and went since the one before.
	gap bool
	// complete means that no stream can have begun before since.
	complete bool
	services map[service]map[ryeford.SoftwareVersion]*period
	// proven are services of which a peer or the store has proven the only version for the time before since.
	proven map[service]bool
	// stored are the versions that the platform's store is known to hold for each service. It is nil without a store.
	stored map[service]map[ryeford.SoftwareVersion]bool
}

// A period is the time in which a version was listed.
type period struct {
	// after is a time before the version was first listed, and seen when this router last saw it come. Both are zero if
	// the router's first list had it.
	after, seen time.Time
	listed      bool
	accepts     bool      // an endpoint that runs it accepts requests
	until       time.Time // when it was last listed; valid unless listed
}

// NewHistory returns an empty History. firstStart means that no router of the fleet has run before this one
// started, so that there are no older streams.
func NewHistory(limits Limits, firstStart bool) *History {
	return &History{
		limits: limits, complete: firstStart,
		services: make(map[service]map[ryeford.SoftwareVersion]*period), proven: make(map[service]bool),
	}
}

// Extend makes the memory at least d. It never shrinks: streams that began under a longer timeout of their route may
// still run.
func (h *History) Extend(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits.Memory = max(h.limits.Memory, d)
}

// Memory returns how long a record is kept after it was written or read.
func (h *History) Memory() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.limits.Memory
}

// Confirm records that the list is known as of a time. If the list had a gap that is longer than Settle, streams may
// have begun at versions that have come and gone unseen.
func (h *History) Confirm(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.since.IsZero():
		h.since = at
	case !at.After(h.confirmed):
		return
	case h.gap && at.Sub(h.confirmed) > h.limits.Settle:
		h.since, h.complete = at, false
		clear(h.proven)
	}
	if at.Sub(h.confirmed) > h.limits.Settle {
		h.resumed = at
	}
	h.confirmed, h.gap = at, false
}

// HoldsStart reports whether the list holds the entry of an endpoint that started by a time.
func (h *History) HoldsStart(started time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resumed.After(started) {
		started = h.resumed
	}
	return !h.confirmed.Before(started.Add(h.limits.Restart))
}

// List records the versions of each service's endpoints, with the number of those that accept requests. followed means
// that no endpoint has come and gone unseen since the last list. It must be called before Confirm is called for the read
// that returned them.
func (h *History) List(now time.Time, versions map[string]map[ryeford.SoftwareVersion]int, followed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gap = h.gap || !followed
	listed := make(map[service]map[ryeford.SoftwareVersion]bool, len(versions))
	for name, list := range versions {
		id := serviceOf(name)
		if listed[id] == nil {
			listed[id] = make(map[ryeford.SoftwareVersion]bool)
		}
		for version, accepting := range list {
			listed[id][version] = true
			h.add(now, id, version).accepts = accepting > 0
		}
	}
	for id, periods := range h.services {
		for version, p := range periods {
			if p.listed && !listed[id][version] {
				p.listed, p.accepts, p.until = false, false, now
			}
		}
	}
}

// add records that a version is listed, and returns its period.
func (h *History) add(now time.Time, id service, version ryeford.SoftwareVersion) *period {
	periods := h.services[id]
	if periods == nil {
		periods = make(map[ryeford.SoftwareVersion]*period)
		h.services[id] = periods
	}
	p := periods[version]
	switch {
	case p == nil:
		p = &period{}
		if !h.confirmed.IsZero() {
			p.after, p.seen = h.confirmed, now
		}
		periods[version] = p
	case !p.listed: // other routers may have forgotten the version
		p.seen = now
	}
	p.listed = true
	return p
}

// Only returns the version that has begun all streams of a service that may be taken up now, or false if there may
// be several or it is unknown.
func (h *History) Only(now time.Time, name string) (ryeford.SoftwareVersion, bool) {
	return h.only(now, serviceOf(name))
}

func (h *History) only(now time.Time, id service) (ryeford.SoftwareVersion, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forget(now, id)
	if !h.isFresh(now) || !h.complete && !h.proven[id] && now.Sub(h.since) < h.limits.Memory+h.limits.Settle {
		return "", false
	}
	return h.single(now, id)
}

// forget removes the versions of a service that can't have begun a stream that lives now. h.mu is held.
func (h *History) forget(now time.Time, id service) {
	for version, p := range h.services[id] {
		if !p.listed && now.Sub(p.until) > h.limits.Memory+h.limits.Settle {
			delete(h.services[id], version)
		}
	}
}

// isFresh reports whether the list is recent enough to have each version that may have begun a stream. h.mu is held.
func (h *History) isFresh(now time.Time) bool {
	return !h.confirmed.IsZero() && now.Sub(h.confirmed) <= h.limits.Settle
}

// single returns the version of a service that has begun streams since h.since, or false if there may be several.
// h.mu is held.
func (h *History) single(now time.Time, id service) (ryeford.SoftwareVersion, bool) {
	var found ryeford.SoftwareVersion
	n := 0
	early := !h.hasSettled(now, id)
	for version, p := range h.services[id] {
		if p.settled(now, h.limits) || early && p.listed {
			found = version
			n++
		}
	}
	if n != 1 || !found.Known() {
		return "", false
	}
	return found, true
}

// hasSettled reports whether a settled version of a service accepts requests. If not, new streams go to the others at
// once. h.mu is held.
func (h *History) hasSettled(now time.Time, id service) bool {
	for _, p := range h.services[id] {
		if p.accepts && p.settled(now, h.limits) {
			return true
		}
	}
	return false
}

// settled reports whether the version has been listed for Settle, so that a stream that lives now may have begun there.
func (p *period) settled(now time.Time, limits Limits) bool {
	return p.after.IsZero() || now.Sub(p.after) >= limits.Settle
}

// Adopt records a peer's proof that a version is the only one of a service. It counts only if it agrees with what
// this router has seen, and if this router has known the list since before the peer's proof can have ended.
func (h *History) Adopt(now time.Time, name string, only ryeford.SoftwareVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := serviceOf(name)
	if h.since.IsZero() || now.Sub(h.since) < h.limits.Settle {
		return
	}
	if found, ok := h.single(now, id); ok && found == only {
		h.proven[id] = true
	}
}

// NewStreams returns which endpoints may begin a new stream: while a single version is settled, only those that run
// it, and otherwise all. A version that the platform's store doesn't hold yet is not settled while it holds another.
func (h *History) NewStreams(now time.Time, name string) Constraint {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found ryeford.SoftwareVersion
	n := 0
	id := serviceOf(name)
	for version, p := range h.services[id] {
		if p.accepts && (p.seen.IsZero() || now.Sub(p.seen) >= h.limits.Settle) && h.mayBegin(id, version) {
			found = version
			n++
		}
	}
	if n != 1 || !found.Known() {
		return Constraint{}
	}
	return BegunBy(found)
}
