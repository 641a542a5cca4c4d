package agent

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// A unit is one engine, or one plain service, of the agent's VM.
type unit struct {
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

// An overflow says which engine served a chat of ours last.
type overflow struct {
	engine ryeford.EngineID
	until  time.Time
}

const (
	overflowKept = 30 * time.Minute
	maxOverflows = 100_000
)

// newUnit returns a unit with nothing running.
func newUnit(id ryeford.EngineID, limits admission.Limits, chats int) *unit {
	return &unit{
		id:       id,
		gate:     admission.NewGate(limits),
		chats:    newChatMemory(chats),
		overflow: make(map[wire.ChatKey]overflow),
	}
}

// load returns how many requests run.
func (u *unit) load() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return float64(u.gate.Load())
}

// serves reports whether the unit can serve a dispatch now.
func (u *unit) serves(d *wire.Dispatch) bool {
	if d.Call != nil {
		return u.service != nil
	}
	if u.engine == nil || d.Completion == nil || !u.alive {
		return false
	}
	for _, pool := range u.pools {
		if pool == d.Completion.Pool {
			return true
		}
	}
	return false
}

// admit decides on a dispatch and counts it if it is admitted. warm tells
// whether the chat was served here before.
func (u *unit) admit(now time.Time, d *wire.Dispatch) (decision admission.Decision, warm bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.serves(d) {
		return admission.Decision{Reason: ryeford.ReasonNotServing, Load: float64(u.gate.Load())}, false
	}
	decision = u.gate.Admit(now, &admission.Request{
		Account:  d.Account,
		Priority: d.Priority,
		Share:    d.Share,
		PoolMean: d.PoolMean,
	})
	key := wire.ChatKey{Account: d.Account, Chat: d.Chat}
	warm = u.chats.has(key)
	if decision.Admitted && d.Completion != nil {
		u.chats.add(key, d.Completion.Pool)
		delete(u.overflow, key)
	}
	return decision, warm
}

// isWarm reports whether the engine holds the prefix of a dispatch's chat, as
// far as is known.
func (u *unit) isWarm(d *wire.Dispatch) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.chats.has(wire.ChatKey{Account: d.Account, Chat: d.Chat})
}

// release counts a run out and lets the first that waits try.
func (u *unit) release(now time.Time, account ryeford.AccountID) {
	u.mu.Lock()
	u.gate.Release(now, account)
	u.mu.Unlock()
	u.waiting.wake()
}

// redirect returns the engine that holds a chat's prefix, if another one does.
func (u *unit) redirect(now time.Time, d *wire.Dispatch) (ryeford.EngineID, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := wire.ChatKey{Account: d.Account, Chat: d.Chat}
	o, ok := u.overflow[key]
	if !ok || now.After(o.until) {
		delete(u.overflow, key)
		return "", false
	}
	return o.engine, true
}

// noteOverflow notes that another engine served a chat of ours.
func (u *unit) noteOverflow(now time.Time, o *wire.Overflow) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.overflow) >= maxOverflows {
		clear(u.overflow) // hints only
	}
	u.overflow[o.Chat] = overflow{engine: o.Engine, until: now.Add(overflowKept)}
}

// noteCacheEvents forgets the chats that the engine evicted.
func (u *unit) noteCacheEvents(events []ryeford.CacheEvent) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range events {
		if e.Evicted {
			u.chats.drop(parseCacheKey(e.Chat))
		}
	}
}

// state returns what the inventory says of the unit.
func (u *unit) state() wire.EngineState {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := wire.EngineState{
		ID:      u.id,
		Service: u.serviceName,
		Load:    float64(u.gate.Load()),
	}
	if u.alive {
		s.Pools = u.pools
	}
	return s
}

// setServing notes what the engine serves, and reports whether that is new.
func (u *unit) setServing(alive bool, pools []ryeford.Pool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	changed := alive != u.alive || len(pools) != len(u.pools)
	for i := range pools {
		changed = changed || pools[i] != u.pools[i]
	}
	u.alive = alive
	u.pools = pools
	return changed
}
