package agent

import (
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

const (
	// overflowTTL is how long a chat is redirected to the engine that served it
	// last. Not measured.
	overflowTTL = 30 * time.Minute
	// maxOverflows bounds the records of one engine. Not measured;
	// BenchmarkChatMemory shows what a record costs.
	maxOverflows = 100_000
)

// overflows records, for chats whose home this engine is, which other engine
// served them last and so holds their prefix. Routers report it by gossip. A
// record may be wrong: the router asks the home next if the other engine refuses.
type overflows map[wire.ChatKey]overflow

// An overflow is the record of one chat.
type overflow struct {
	engine ryeford.EngineID
	until  time.Time
}

// holder returns the engine to which a chat is to be redirected: the one that
// served it last, within overflowTTL. It drops an older record.
func (o overflows) holder(now time.Time, chat wire.ChatKey) (ryeford.EngineID, bool) {
	record, ok := o[chat]
	if !ok || now.After(record.until) {
		delete(o, chat)
		return "", false
	}
	return record.engine, true
}

// add records that an engine served a chat. At maxOverflows all records are
// dropped, which is cheaper than to find the oldest: they are hints only.
func (o overflows) add(now time.Time, chat wire.ChatKey, engine ryeford.EngineID) {
	if len(o) >= maxOverflows {
		clear(o)
	}
	o[chat] = overflow{engine: engine, until: now.Add(overflowTTL)}
}
