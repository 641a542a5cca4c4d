package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// A backend is one engine or one plain service of the agent's VM.
type backend struct {
	id           ryeford.EngineID
	engine       ryeford.Engine  // nil for a service
	service      ryeford.Service // nil for an engine
	serviceName  string
	checksFences bool

	queue     queue // dispatches that wait for the load to fall
	lastEvent int64 // sequence of the last cache event that was read; used by pollEngines only

	mu           sync.Mutex
	gate         *admission.Gate
	pools        []ryeford.Pool
	alive        bool
	chats        *chatLRU
	lastOrder    issuedOrder // used by applyPlan only
	overflow     overflows
	backoffUntil time.Time // requested by the engine or service
}

func newBackend(id ryeford.EngineID, limits admission.Limits, chats int) *backend {
	return &backend{
		id:       id,
		gate:     admission.NewGate(limits),
		chats:    newChatLRU(chats),
		overflow: make(overflows),
	}
}

// load returns the number of running requests.
func (b *backend) load() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.gate.Load())
}

// servingLoad returns the number of running requests, and whether b can serve a dispatch.
func (b *backend) servingLoad(d *wire.Dispatch) (load float64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.gate.Load()), b.serves(d)
}

// serves reports whether b can serve a dispatch. The caller holds b.mu.
func (b *backend) serves(d *wire.Dispatch) bool {
	if d.Call != nil {
		return b.service != nil
	}
	if b.engine == nil || d.Completion == nil || !b.alive {
		return false
	}
	return slices.Contains(b.pools, d.Completion.Pool)
}

// admit decides on a dispatch, given the mean load in requests, and adds it to the load
// if it is admitted. warm reports whether the engine is expected to hold the chat's
// prefix already.
func (b *backend) admit(now time.Time, d *wire.Dispatch, mean float64) (decision admission.Decision, warm bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.serves(d) {
		return admission.Decision{Reason: ryeford.ReasonNotServing, Load: float64(b.gate.Load())}, false
	}
	if remaining := b.backoffUntil.Sub(now); remaining > 0 {
		return admission.Decision{Reason: ryeford.ReasonBackingOff, Load: float64(b.gate.Load()), RetryAfter: remaining}, false
	}
	decision = b.gate.Admit(now, &admission.Request{
		Account:  d.Account,
		Priority: d.Priority,
		Share:    d.Share,
		PoolMean: mean,
	})
	chat := d.ChatKey()
	warm = b.chats.contains(chat)
	if decision.Admitted && d.Completion != nil {
		d.Completion.Admitted = time.Now() // now may be earlier, by the time spent waiting for the lock
		b.chats.add(chat, d.Completion.Pool)
		delete(b.overflow, chat)
	}
	return decision, warm
}

// isWarm reports whether the engine is expected to hold the prefix of a dispatch's chat.
func (b *backend) isWarm(d *wire.Dispatch) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.chats.contains(d.ChatKey())
}

// release removes a run that has ended from the load, and wakes the first dispatch in
// the queue.
func (b *backend) release(now time.Time, account ryeford.AccountID) {
	b.mu.Lock()
	b.gate.Release(now, account)
	b.mu.Unlock()
	b.queue.wake()
}

// holder returns the engine to which a dispatch is to be redirected, if another engine
// holds the prefix of its chat.
func (b *backend) holder(now time.Time, d *wire.Dispatch) (ryeford.EngineID, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.overflow.holder(now, d.ChatKey())
}

// addOverflow records that another engine served a chat whose home is b.
func (b *backend) addOverflow(now time.Time, o *wire.Overflow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.overflow.add(now, o.Chat, o.Engine)
}

// state returns the inventory entry of b.
func (b *backend) state() wire.EngineState {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := wire.EngineState{
		ID:         b.id,
		Service:    b.serviceName,
		Load:       float64(b.gate.Load()),
		BackingOff: time.Now().Before(b.backoffUntil),
	}
	if b.alive {
		s.Pools = b.pools
	}
	return s
}

// setServing records the pools that the engine serves, and reports whether they changed.
func (b *backend) setServing(alive bool, pools []ryeford.Pool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := alive != b.alive || !slices.Equal(pools, b.pools)
	b.alive = alive
	b.pools = pools
	return changed
}

// pollEngines polls the state of the engines immediately and then after each interval,
// until ctx ends.
func (a *Agent) pollEngines(ctx context.Context) error {
	poll := func() {
		changed := false
		for _, s := range a.settings.Engines {
			b := a.backends[s.ID]
			changed = a.pollServing(ctx, b) || changed
			b.pollCache(ctx)
		}
		if changed {
			a.inventoryChanged()
		}
	}
	poll()
	return runPeriodically(ctx, a.settings.Polls.Engine, poll)
}

// pollServing polls the pools that an engine serves, and reports whether they changed.
// An engine that does not respond is recorded as serving none.
func (a *Agent) pollServing(ctx context.Context, b *backend) bool {
	order, err := b.engine.Serving(ctx)
	changed := b.setServing(err == nil, order.Pools)
	if changed {
		a.decisions.Record("", "decision", "serving", "engine", b.id, "alive", err == nil, "pools", len(order.Pools), "epoch", order.Epoch)
	}
	return changed
}

// pollCache reads the engine's cache events since the last poll and removes evicted
// chats. After an error the next poll requests the same events again. A missed event only
// makes isWarm wrong for its chat.
func (b *backend) pollCache(ctx context.Context) {
	events, err := b.engine.CacheEvents(ctx, b.lastEvent)
	if err != nil || len(events) == 0 {
		return
	}
	b.lastEvent = events[len(events)-1].Sequence
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range events {
		if e.Evicted {
			b.chats.remove(parseCacheKey(e.Chat))
		}
	}
}
