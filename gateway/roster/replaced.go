package roster

import (
	"net/netip"
	"slices"

	"github.com/ryeford/ryeford"
)

// Endpoints whose address belongs to a later endpoint.
//
// Rule: of two listed endpoints of a service with one address, the one that started later and wrote its entry
// later replaces the other. A replaced endpoint gets no requests and is no source of cached prefixes. If the
// two orders differ or a start time is unknown, neither is replaced. An endpoint replaces nothing once its
// address has responded as another endpoint.
//
// Why: an endpoint that crashes leaves its entry on the list until that expires, and starts again under
// another ID at the same address. Until then each request for the old ID would be refused. Both orders are
// required because the clock of a VM can step back, and a write of the old entry can arrive late.

// An addressKey identifies the endpoints of which one replaces the others.
type addressKey struct {
	service string
	address netip.AddrPort
}

func (e *Entry) addressKey() addressKey { return addressKey{service: e.Service, address: e.Address} }

// replaces reports whether an endpoint replaces another one with the same service and address.
func replaces(later, earlier *ryeford.Endpoint) bool {
	laterStart, laterKnown := later.ID.Started()
	earlierStart, earlierKnown := earlier.ID.Started()
	return laterKnown && earlierKnown && laterStart > earlierStart && later.Written > earlier.Written
}

// MarkMisdirected records that the address of an endpoint has responded as another endpoint.
func (r *Roster) MarkMisdirected(id ryeford.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries[id] == nil || r.misdirected[id] {
		return
	}
	r.misdirected[id] = true
	r.rebuildIndex()
}

// markReplaced sets which entries are replaced.
func (r *Roster) markReplaced() {
	sameAddress := make(map[addressKey][]*Entry, len(r.entries))
	for id, entry := range r.entries {
		if entry.Address.IsValid() && !r.misdirected[id] {
			key := entry.addressKey()
			sameAddress[key] = append(sameAddress[key], entry)
		}
	}
	for id, entry := range r.entries {
		replaced := slices.ContainsFunc(sameAddress[entry.addressKey()], func(other *Entry) bool {
			return replaces(&other.Endpoint, &entry.Endpoint)
		})
		if replaced != entry.Replaced {
			changed := *entry // callers may hold the old entry
			changed.Replaced = replaced
			r.entries[id] = &changed
		}
	}
}
