package streamversion

import (
	"slices"
	"time"

	"github.com/ryeford/ryeford"
)

// What the platform's store proves of the versions that began streams, after all routers have been lost.
//
// Rule: the store holds the versions of each service that may have begun a stream that lives. A router begins a
// stream at a service's only version without a record once it knows that the store holds this version and no other.
// While the store holds a version that accepts requests, no new stream goes to one that it doesn't hold. A version is
// removed when no stream that it may have begun can live.
//
// Why: after the loss of all routers, a service of which the store holds one version, and whose list shows no other,
// has begun all its streams at that version.

// UseStore makes the proofs depend on what the platform's store holds. It must be called before the History is used.
func (h *History) UseStore() { h.stored = make(map[service]map[ryeford.SoftwareVersion]bool) }

// SetStored records the versions that the store held when it was read, at a time after which this router may have begun
// streams.
func (h *History) SetStored(now, readAt time.Time, versions []ryeford.ServiceVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.stored)
	h.addStored(versions)
	for id, held := range h.stored {
		if only, ok := h.single(now, id); ok && len(held) == 1 && held[only] && !h.since.IsZero() && !h.since.After(readAt) {
			h.proven[id] = true
		}
	}
}

// ChangeStored records that the store holds some versions from now on, and others no longer.
func (h *History) ChangeStored(stored, removed []ryeford.ServiceVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addStored(stored)
	for _, version := range removed {
		delete(h.stored[service(version.Service)], version.Software)
	}
}

// addStored adds versions that the store holds. h.mu is held.
func (h *History) addStored(versions []ryeford.ServiceVersion) {
	for _, version := range versions {
		id := service(version.Service)
		if h.stored[id] == nil {
			h.stored[id] = make(map[ryeford.SoftwareVersion]bool)
		}
		h.stored[id][version.Software] = true
	}
}

// ForgetStored records that it is unknown what the store holds, since it was restored from a backup.
func (h *History) ForgetStored() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.stored)
}

// StoreChanges returns the versions that the store should hold, but isn't known to, and those that it holds needlessly.
func (h *History) StoreChanges(now time.Time) (missing, outdated []ryeford.ServiceVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stored == nil {
		return nil, nil
	}
	for id, periods := range h.services {
		h.forget(now, id)
		for version := range periods {
			if !h.stored[id][version] {
				missing = append(missing, ryeford.ServiceVersion{Service: uint32(id), Software: version})
			}
		}
	}
	if h.since.IsZero() || now.Sub(h.since) < h.limits.Memory+h.limits.Settle || !h.isFresh(now) {
		return missing, nil // streams of versions that were not listed since may live
	}
	for id, held := range h.stored {
		for version := range held {
			if h.services[id][version] == nil {
				outdated = append(outdated, ryeford.ServiceVersion{Service: uint32(id), Software: version})
			}
		}
	}
	return missing, outdated
}

// LacksProof reports whether a read of the store may prove the only version of a service: after a gap in the list, or
// after the start.
func (h *History) LacksProof(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.complete || h.since.IsZero() || now.Sub(h.since) >= h.limits.Memory+h.limits.Settle {
		return false
	}
	for id, held := range h.stored {
		only, ok := h.single(now, id)
		if ok && !h.proven[id] && len(held) == 1 && held[only] {
			return true
		}
	}
	return false
}

// needsRecord reports whether a stream that begins at a version can be taken up after the loss of all routers only with
// a record. h.mu is held.
func (h *History) needsRecord(id service, software ryeford.SoftwareVersion) bool {
	return h.stored != nil && (len(h.stored[id]) != 1 || !h.stored[id][software])
}

// mayBegin reports whether a new stream may begin at a version while others accept requests. h.mu is held.
func (h *History) mayBegin(id service, software ryeford.SoftwareVersion) bool {
	return h.stored == nil || len(h.stored[id]) == 0 || h.stored[id][software]
}

// OnlyStored returns the only version of a service, as Only does, if the store holds it and no other.
func (h *History) OnlyStored(now time.Time, name string) (ryeford.SoftwareVersion, bool) {
	return h.onlyStored(now, serviceOf(name))
}

func (h *History) onlyStored(now time.Time, id service) (ryeford.SoftwareVersion, bool) {
	only, ok := h.only(now, id)
	if !ok {
		return "", false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return only, !h.needsRecord(id, only)
}

// Unproven returns the streams that can be taken up after the loss of all routers only if they are in the store.
func (h *History) Unproven(now time.Time, streams []Begun) []Begun {
	return slices.DeleteFunc(streams, func(b Begun) bool {
		only, ok := h.onlyStored(now, service(b.Key.Service))
		return ok && only == b.Software
	})
}

// A Begun is a stream that has begun at a version.
type Begun struct {
	Key      Key
	Software ryeford.SoftwareVersion
}

// Stored returns the form in which the platform's store keeps the stream.
func (b *Begun) Stored() ryeford.BegunStream {
	return ryeford.BegunStream{Request: b.Key.Request, Owner: b.Key.Owner, Software: b.Software}
}
