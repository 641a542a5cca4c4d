package agent

import (
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// An overflow says which engine served a chat of ours last.
type overflow struct {
	engine ryeford.EngineID
	until  time.Time
}

const (
	overflowKept = 30 * time.Minute
	maxOverflows = 100_000
)

// redirect returns the engine that holds a chat's prefix, if another one does.
func (b *backend) redirect(now time.Time, d *wire.Dispatch) (ryeford.EngineID, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := wire.ChatKey{Account: d.Account, Chat: d.Chat}
	o, ok := b.overflow[key]
	if !ok || now.After(o.until) {
		delete(b.overflow, key)
		return "", false
	}
	return o.engine, true
}

// noteOverflow notes that another engine served a chat of ours.
func (b *backend) noteOverflow(now time.Time, o *wire.Overflow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.overflow) >= maxOverflows {
		clear(b.overflow) // hints only
	}
	b.overflow[o.Chat] = overflow{engine: o.Engine, until: now.Add(overflowKept)}
}
