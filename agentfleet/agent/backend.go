package agent

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// A backend is one engine, or one plain service, of the agent's VM.
type backend struct {
	id           ryeford.EngineID
	engine       ryeford.Engine  // nil for a service
	service      ryeford.Service // nil for an engine
	serviceName  string
	checksFences bool

	waiting waiting

	mu       sync.Mutex
	gate     *admission.Gate
	pools    []ryeford.Pool
	alive    bool
	chats    *chatMemory
	issued   issued // used by applyPlan only
	overflow map[wire.ChatKey]overflow
}

// newBackend returns a backend with nothing running.
func newBackend(id ryeford.EngineID, limits admission.Limits, chats int) *backend {
	return &backend{
		id:       id,
		gate:     admission.NewGate(limits),
		chats:    newChatMemory(chats),
		overflow: make(map[wire.ChatKey]overflow),
	}
}

// load returns how many requests run.
func (b *backend) load() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.gate.Load())
}

// serves reports whether the backend can serve a dispatch now.
func (b *backend) serves(d *wire.Dispatch) bool {
	if d.Call != nil {
		return b.service != nil
	}
	if b.engine == nil || d.Completion == nil || !b.alive {
		return false
	}
	for _, pool := range b.pools {
		if pool == d.Completion.Pool {
			return true
		}
	}
	return false
}

// admit decides on a dispatch and counts it if it is admitted. warm tells
// whether the chat was served here before.
func (b *backend) admit(now time.Time, d *wire.Dispatch) (decision admission.Decision, warm bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.serves(d) {
		return admission.Decision{Reason: ryeford.ReasonNotServing, Load: float64(b.gate.Load())}, false
	}
	decision = b.gate.Admit(now, &admission.Request{
		Account:  d.Account,
		Priority: d.Priority,
		Share:    d.Share,
		PoolMean: d.PoolMean,
	})
	key := wire.ChatKey{Account: d.Account, Chat: d.Chat}
	warm = b.chats.has(key)
	if decision.Admitted && d.Completion != nil {
		b.chats.add(key, d.Completion.Pool)
		delete(b.overflow, key)
	}
	return decision, warm
}

// isWarm reports whether the engine holds the prefix of a dispatch's chat, as
// far as is known.
func (b *backend) isWarm(d *wire.Dispatch) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.chats.has(wire.ChatKey{Account: d.Account, Chat: d.Chat})
}

// release counts a run out and lets the first that waits try.
func (b *backend) release(now time.Time, account ryeford.AccountID) {
	b.mu.Lock()
	b.gate.Release(now, account)
	b.mu.Unlock()
	b.waiting.wake()
}

// noteCacheEvents forgets the chats that the engine evicted.
func (b *backend) noteCacheEvents(events []ryeford.CacheEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range events {
		if e.Evicted {
			b.chats.drop(parseCacheKey(e.Chat))
		}
	}
}

// state returns what the inventory says of b.
func (b *backend) state() wire.EngineState {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := wire.EngineState{
		ID:      b.id,
		Service: b.serviceName,
		Load:    float64(b.gate.Load()),
	}
	if b.alive {
		s.Pools = b.pools
	}
	return s
}

// setServing notes what the engine serves, and reports whether that is new.
func (b *backend) setServing(alive bool, pools []ryeford.Pool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := alive != b.alive || len(pools) != len(b.pools)
	for i := range pools {
		changed = changed || pools[i] != b.pools[i]
	}
	b.alive = alive
	b.pools = pools
	return changed
}
