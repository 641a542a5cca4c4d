package standin

import (
	"slices"
	"strings"

	"github.com/ryeford/ryeford"
)

// A promptCache plays an engine's KV cache: it keeps the prompts of the chats that were
// served last, as text, and the events of what was stored and evicted.
type promptCache struct {
	limit   int
	prompts []cachedPrompt // the one used least recently first
	events  []ryeford.CacheEvent
}

type cachedPrompt struct {
	chat ryeford.ChatID
	text string
}

func newPromptCache(limit int) *promptCache {
	// Not nil, so that an engine without events answers with an empty list.
	return &promptCache{limit: limit, events: []ryeford.CacheEvent{}}
}

// cached returns how many tokens of a chat's prompt are cached.
func (c *promptCache) cached(chat ryeford.ChatID, prompt string) int {
	text, ok := c.text(chat)
	if !ok || !strings.HasPrefix(prompt, text) {
		return 0
	}
	return countTokens(text)
}

func (c *promptCache) text(chat ryeford.ChatID) (string, bool) {
	for _, p := range c.prompts {
		if p.chat == chat {
			return p.text, true
		}
	}
	return "", false
}

// store keeps a chat's prompt and evicts the one used least recently.
func (c *promptCache) store(chat ryeford.ChatID, text string) {
	c.prompts = slices.DeleteFunc(c.prompts, func(p cachedPrompt) bool { return p.chat == chat })
	c.prompts = append(c.prompts, cachedPrompt{chat: chat, text: text})
	c.event(chat, false)
	for len(c.prompts) > c.limit {
		c.event(c.prompts[0].chat, true)
		c.prompts = slices.Delete(c.prompts, 0, 1)
	}
}

func (c *promptCache) event(chat ryeford.ChatID, evicted bool) {
	c.events = append(c.events, ryeford.CacheEvent{
		Sequence: int64(len(c.events) + 1),
		Chat:     chat,
		Evicted:  evicted,
	})
}
