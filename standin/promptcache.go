package standin

import (
	"slices"
	"strings"

	"github.com/ryeford/ryeford"
)

// A promptCache plays an engine's KV cache. It keeps the prompts of the most recently served chats
// as text, and records an event when it stores or evicts a prompt.
type promptCache struct {
	limit   int            // maximum number of prompts
	prompts []cachedPrompt // least recently stored first
	events  []ryeford.CacheEvent
}

type cachedPrompt struct {
	chat ryeford.ChatID
	text string
}

func newPromptCache(limit int) *promptCache {
	// events is not nil, which JSON would encode as null.
	return &promptCache{limit: limit, events: []ryeford.CacheEvent{}}
}

// cached returns the number of cached tokens of a chat's prompt.
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

// store stores a chat's prompt, and evicts the least recently stored prompts beyond the limit.
func (c *promptCache) store(chat ryeford.ChatID, text string) {
	c.prompts = slices.DeleteFunc(c.prompts, func(p cachedPrompt) bool { return p.chat == chat })
	c.prompts = append(c.prompts, cachedPrompt{chat: chat, text: text})
	c.recordEvent(chat, false)
	for len(c.prompts) > c.limit {
		c.recordEvent(c.prompts[0].chat, true)
		c.prompts = slices.Delete(c.prompts, 0, 1)
	}
}

func (c *promptCache) recordEvent(chat ryeford.ChatID, evicted bool) {
	c.events = append(c.events, ryeford.CacheEvent{
		Sequence: int64(len(c.events) + 1),
		Chat:     chat,
		Evicted:  evicted,
	})
}
