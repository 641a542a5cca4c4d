// Package prefixcache remembers which endpoints were sent which parts of prompts,
// and so are believed to hold them. It does no I/O.
package prefixcache

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
)

// Limits bound a Map.
type Limits struct {
	// Parts is how many parts are remembered.
	Parts int
	// PerPart is how many endpoints are remembered for each.
	PerPart int
	// Forget is the time after which an endpoint that was sent a part is no
	// longer believed to hold it.
	Forget time.Duration
}

// A Map remembers who holds which part of a prompt: the part with all that
// stands before it.
type Map struct {
	limits Limits

	mu    sync.Mutex
	parts map[uint64][]holder
}

type holder struct {
	id ryeford.EndpointID
	at time.Time
}

// New returns an empty Map.
func New(limits Limits) *Map {
	return &Map{limits: limits, parts: make(map[uint64][]holder)}
}

// Add notes that an endpoint has read the parts, in their order.
func (m *Map) Add(now time.Time, id ryeford.EndpointID, parts []ryeford.PromptPart) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range parts {
		m.add(now, id, parts[i].ID)
	}
}

// add puts an endpoint first among a part's holders.
func (m *Map) add(now time.Time, id ryeford.EndpointID, part uint64) {
	list := m.parts[part]
	if list == nil && len(m.parts) >= m.limits.Parts {
		m.dropOldest(now)
	}
	at := len(list)
	for i := range list {
		if list[i].id == id {
			at = i
			break
		}
	}
	if at == len(list) && len(list) < m.limits.PerPart {
		list = append(list, holder{})
	}
	at = min(at, len(list)-1)
	copy(list[1:at+1], list[:at])
	list[0] = holder{id: id, at: now}
	m.parts[part] = list
}

// dropOldest forgets what is too old, or else any one part.
func (m *Map) dropOldest(now time.Time) {
	dropped := false
	for part, list := range m.parts {
		if now.Sub(list[0].at) > m.limits.Forget {
			delete(m.parts, part)
			dropped = true
		}
	}
	if dropped {
		return
	}
	for part := range m.parts {
		delete(m.parts, part)
		return
	}
}

// Best returns the endpoint that is believed to hold the most of the parts, and
// how many of them. Those for which allowed is false are passed over.
func (m *Map) Best(now time.Time, parts []ryeford.PromptPart, allowed func(ryeford.EndpointID) bool) (ryeford.EndpointID, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := len(parts) - 1; i >= 0; i-- {
		for _, h := range m.parts[parts[i].ID] {
			if now.Sub(h.at) <= m.limits.Forget && allowed(h.id) {
				return h.id, i + 1
			}
		}
	}
	return "", 0
}

// Held returns how many tokens of the parts each endpoint is believed to hold.
func (m *Map) Held(now time.Time, parts []ryeford.PromptPart) map[ryeford.EndpointID]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := make(map[ryeford.EndpointID]int)
	tokens := 0
	for i := range parts {
		tokens += parts[i].Tokens
		for _, h := range m.parts[parts[i].ID] {
			if now.Sub(h.at) <= m.limits.Forget {
				held[h.id] = tokens
			}
		}
	}
	return held
}

// Forget drops an endpoint that is gone.
func (m *Map) Forget(id ryeford.EndpointID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for part, list := range m.parts {
		kept := list[:0]
		for _, h := range list {
			if h.id != id {
				kept = append(kept, h)
			}
		}
		if len(kept) == 0 {
			delete(m.parts, part)
			continue
		}
		m.parts[part] = kept
	}
}
