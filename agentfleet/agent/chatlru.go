package agent

import (
	"container/list"
	"strings"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// A chatLRU holds the chats that an engine served last, whose prefixes it is expected to
// hold. It evicts the least recently served chat.
type chatLRU struct {
	limit int        // chats
	order *list.List // of servedChat, most recent first
	chats map[wire.ChatKey]*list.Element
}

// A servedChat is a chat and the pool that served it.
type servedChat struct {
	key  wire.ChatKey
	pool ryeford.Pool
}

func newChatLRU(limit int) *chatLRU {
	return &chatLRU{
		limit: limit,
		order: list.New(),
		chats: make(map[wire.ChatKey]*list.Element),
	}
}

func (l *chatLRU) contains(key wire.ChatKey) bool {
	_, ok := l.chats[key]
	return ok
}

func (l *chatLRU) add(key wire.ChatKey, pool ryeford.Pool) {
	l.remove(key)
	l.chats[key] = l.order.PushFront(servedChat{key: key, pool: pool})
	if l.order.Len() > l.limit {
		l.remove(l.order.Back().Value.(servedChat).key)
	}
}

func (l *chatLRU) remove(key wire.ChatKey) {
	if element, ok := l.chats[key]; ok {
		l.order.Remove(element)
		delete(l.chats, key)
	}
}

// mostRecent returns up to n chats of each pool, most recent first.
func (l *chatLRU) mostRecent(n int) map[ryeford.Pool][]wire.ChatKey {
	chats := make(map[ryeford.Pool][]wire.ChatKey)
	for e := l.order.Front(); e != nil; e = e.Next() {
		chat := e.Value.(servedChat)
		if len(chats[chat.pool]) < n {
			chats[chat.pool] = append(chats[chat.pool], chat.key)
		}
	}
	return chats
}

// cacheKey returns the ID under which an engine caches a chat. It includes the account,
// so that accounts never share a cache entry.
func cacheKey(key wire.ChatKey) ryeford.ChatID {
	return ryeford.ChatID(string(key.Account) + "/" + string(key.Chat))
}

// parseCacheKey returns the chat for a cacheKey.
func parseCacheKey(id ryeford.ChatID) wire.ChatKey {
	account, chat, _ := strings.Cut(string(id), "/")
	return wire.ChatKey{Account: ryeford.AccountID(account), Chat: ryeford.ChatID(chat)}
}

const (
	// overflowTTL is how long a chat is redirected to the engine that served it last.
	overflowTTL = 30 * time.Minute
	// maxOverflows is the maximum number of records for one engine.
	maxOverflows = 100_000
)

// overflows records, for chats whose home is this engine, which other engine served
// them last and therefore holds their prefix. Routers report this by gossip. A record
// may be wrong: if the other engine refuses, the router dispatches to the home next.
type overflows map[wire.ChatKey]overflow

// An overflow is the record of one chat.
type overflow struct {
	engine  ryeford.EngineID
	expires time.Time
}

// holder returns the engine to which a chat is to be redirected: the one that served it
// last, within overflowTTL. It removes an expired record.
func (o overflows) holder(now time.Time, chat wire.ChatKey) (ryeford.EngineID, bool) {
	record, ok := o[chat]
	if !ok || now.After(record.expires) {
		delete(o, chat)
		return "", false
	}
	return record.engine, true
}

// add records that an engine served a chat. At maxOverflows it removes all records,
// which is cheaper than finding the oldest one. Records are only hints.
func (o overflows) add(now time.Time, chat wire.ChatKey, engine ryeford.EngineID) {
	if len(o) >= maxOverflows {
		clear(o)
	}
	o[chat] = overflow{engine: engine, expires: now.Add(overflowTTL)}
}
