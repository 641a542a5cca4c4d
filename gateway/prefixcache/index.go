// Package prefixcache is an index of which endpoints are likely to have which
// parts of prompts in their prefix caches: an endpoint that was sent a part has
// read it, and keeps it unless it needs the memory.
//
// It owns what this router and its peers have sent where. It relies on the caller
// to forget endpoints that are gone, and never learns what an endpoint evicts: what
// it returns is a belief, and a wrong one costs a fetch that finds nothing. It does
// no I/O.
package prefixcache

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
)

// The limits of the gateway's index.
const (
	// maxParts is how many parts of prompts are indexed. It bounds memory.
	maxParts = 4096
	// maxHolders is how many endpoints are kept for each part, the latest first.
	maxHolders = 4
	// holderTTL is the time after which an endpoint is no longer believed to hold
	// what it was sent.
	holderTTL = time.Minute
)

// An Index maps each part of a prompt to the endpoints that are likely to have it
// cached. A part's ID stands for the part with all that precedes it.
type Index struct {
	mu    sync.Mutex
	parts map[uint64][]holder // the latest first
}

type holder struct {
	id     ryeford.EndpointID
	sentAt time.Time // when it was last sent the part
}

// New returns an empty Index.
func New() *Index { return &Index{parts: make(map[uint64][]holder)} }

// Add notes that an endpoint has read the parts.
func (x *Index) Add(now time.Time, id ryeford.EndpointID, parts []ryeford.PromptPart) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := range parts {
		x.add(now, id, parts[i].ID)
	}
}

// add puts an endpoint first among a part's holders; the last one makes room.
func (x *Index) add(now time.Time, id ryeford.EndpointID, part uint64) {
	if _, known := x.parts[part]; !known && len(x.parts) >= maxParts {
		x.evict(now)
	}
	list := slices.Insert(without(x.parts[part], id), 0, holder{id: id, sentAt: now})
	x.parts[part] = list[:min(len(list), maxHolders)]
}

// evict drops the parts whose holders have all expired, or else any one part.
func (x *Index) evict(now time.Time) {
	before := len(x.parts)
	maps.DeleteFunc(x.parts, func(_ uint64, list []holder) bool { return !list[0].holds(now) })
	if len(x.parts) < before {
		return
	}
	for part := range x.parts {
		delete(x.parts, part)
		return
	}
}

// without removes an endpoint from a part's holders, in place.
func without(list []holder, id ryeford.EndpointID) []holder {
	return slices.DeleteFunc(list, func(h holder) bool { return h.id == id })
}

// holds reports whether an endpoint is still believed to hold what it was sent.
func (h holder) holds(now time.Time) bool { return now.Sub(h.sentAt) <= holderTTL }

// Longest returns the endpoint that is likely to hold the longest beginning of a
// prompt, and of how many parts: the latest one for which allowed returns true. It
// returns "" and 0 if there is none. allowed must not call the Index.
func (x *Index) Longest(now time.Time, parts []ryeford.PromptPart, allowed func(ryeford.EndpointID) bool) (ryeford.EndpointID, int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := len(parts) - 1; i >= 0; i-- {
		for _, h := range x.parts[parts[i].ID] {
			if h.holds(now) && allowed(h.id) {
				return h.id, i + 1
			}
		}
	}
	return "", 0
}

// HeldTokens returns, for each endpoint that is likely to hold any beginning of a
// prompt, how many tokens the longest one has.
func (x *Index) HeldTokens(now time.Time, parts []ryeford.PromptPart) map[ryeford.EndpointID]int {
	x.mu.Lock()
	defer x.mu.Unlock()
	held := make(map[ryeford.EndpointID]int)
	tokens := 0
	for i := range parts {
		tokens += parts[i].Tokens
		for _, h := range x.parts[parts[i].ID] {
			if h.holds(now) {
				held[h.id] = tokens
			}
		}
	}
	return held
}

// Forget drops an endpoint that is gone.
func (x *Index) Forget(id ryeford.EndpointID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for part, list := range x.parts {
		x.parts[part] = without(list, id)
	}
	maps.DeleteFunc(x.parts, func(_ uint64, list []holder) bool { return len(list) == 0 })
}
