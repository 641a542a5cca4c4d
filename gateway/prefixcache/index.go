// Package prefixcache estimates which endpoints have which parts of prompts in their prefix caches: an endpoint
// that was sent a part has cached it, and keeps it until it needs the memory.
//
// The index contains what this router and its peers have sent to which endpoint. The caller removes endpoints
// that are gone. The index is not notified of evictions, so its results are estimates. A wrong one costs a fetch
// that finds nothing. The package does no I/O.
package prefixcache

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// maxParts is the maximum number of indexed parts. It bounds memory.
	maxParts = 4096
	// maxHolders is the maximum number of endpoints for each part. The most recent ones are kept.
	maxHolders = 4
	// holderTTL is how long an endpoint is assumed to hold a part after it was sent.
	holderTTL = time.Minute
)

// An Index maps each part of a prompt to the endpoints that are likely to have it cached. The ID of a part
// identifies the part together with all parts before it. An Index is safe for concurrent use.
type Index struct {
	mu    sync.Mutex
	parts map[uint64][]holder // the most recent first
}

type holder struct {
	id     ryeford.EndpointID
	sentAt time.Time // when it was last sent the part
}

// New returns an empty Index.
func New() *Index { return &Index{parts: make(map[uint64][]holder)} }

// Add records that an endpoint was sent the parts.
func (x *Index) Add(now time.Time, id ryeford.EndpointID, parts []ryeford.PromptPart) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := range parts {
		x.add(now, id, parts[i].ID)
	}
}

// add makes an endpoint the first holder of a part, and drops the last one if there are too many.
func (x *Index) add(now time.Time, id ryeford.EndpointID, part uint64) {
	if _, known := x.parts[part]; !known && len(x.parts) >= maxParts {
		x.evict(now)
	}
	list := slices.Insert(without(x.parts[part], id), 0, holder{id: id, sentAt: now})
	x.parts[part] = list[:min(len(list), maxHolders)]
}

// evict removes all parts whose holders have expired, or an arbitrary part if there are none.
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

// holds reports whether the endpoint is still assumed to hold the part.
func (h holder) holds(now time.Time) bool { return now.Sub(h.sentAt) <= holderTTL }

// LongestPrefix returns the endpoint that is likely to hold the longest prefix of a prompt, and the number of
// parts of that prefix. Among several holders it returns the most recent one. It considers only endpoints for
// which allowed returns true, and returns "" and 0 if there is none. allowed must not call the Index.
func (x *Index) LongestPrefix(now time.Time, parts []ryeford.PromptPart, allowed func(ryeford.EndpointID) bool) (ryeford.EndpointID, int) {
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

// CachedTokens returns the endpoints that are likely to hold a prefix of a prompt, with the number of tokens of
// the longest one.
func (x *Index) CachedTokens(now time.Time, parts []ryeford.PromptPart) map[ryeford.EndpointID]int {
	x.mu.Lock()
	defer x.mu.Unlock()
	cached := make(map[ryeford.EndpointID]int)
	tokens := 0
	for i := range parts {
		tokens += parts[i].Tokens
		for _, h := range x.parts[parts[i].ID] {
			if h.holds(now) {
				cached[h.id] = tokens
			}
		}
	}
	return cached
}

// Remove removes an endpoint that is gone.
func (x *Index) Remove(id ryeford.EndpointID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for part, list := range x.parts {
		x.parts[part] = without(list, id)
	}
	maps.DeleteFunc(x.parts, func(_ uint64, list []holder) bool { return len(list) == 0 })
}
