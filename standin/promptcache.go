package standin

import (
	"container/list"
	"strings"

	"github.com/ryeford/ryeford"
)

// A promptCache plays an engine's KV cache: it keeps the prompts of the chats that were
// served last, as text, and the events of what was stored and evicted.
type promptCache struct {
	limit  int
	order  *list.List // of cacheEntry, the most recent first
	chats  map[ryeford.ChatID]*list.Element
	events []ryeford.CacheEvent
}

// A cacheEntry is the prompt of one chat.
type cacheEntry struct {
	chat ryeford.ChatID
	text string
}

// newPromptCache returns an empty promptCache of so many chats.
func newPromptCache(limit int) *promptCache {
	return &promptCache{
		limit: limit,
		order: list.New(),
		chats: make(map[ryeford.ChatID]*list.Element),
		// Not nil, so that an engine without events answers with an empty list.
		events: []ryeford.CacheEvent{},
	}
}

// cached returns how many tokens of a chat's prompt are cached.
func (c *promptCache) cached(chat ryeford.ChatID, prompt string) int {
	text, ok := c.text(chat)
	if !ok || !strings.HasPrefix(prompt, text) {
		return 0
	}
	return countTokens(text)
}

// text returns a chat's cached prompt.
func (c *promptCache) text(chat ryeford.ChatID) (string, bool) {
	element, ok := c.chats[chat]
	if !ok {
		return "", false
	}
	return element.Value.(cacheEntry).text, true
}

// store keeps a chat's prompt and evicts the one used least recently.
func (c *promptCache) store(chat ryeford.ChatID, text string) {
	if old, ok := c.chats[chat]; ok {
		c.order.Remove(old)
	}
	c.chats[chat] = c.order.PushFront(cacheEntry{chat: chat, text: text})
	c.event(chat, false)
	for c.order.Len() > c.limit {
		last := c.order.Back()
		c.order.Remove(last)
		evicted := last.Value.(cacheEntry).chat
		delete(c.chats, evicted)
		c.event(evicted, true)
	}
}

// event adds a cache event.
func (c *promptCache) event(chat ryeford.ChatID, evicted bool) {
	c.events = append(c.events, ryeford.CacheEvent{
		Sequence: int64(len(c.events) + 1),
		Chat:     chat,
		Evicted:  evicted,
	})
}
