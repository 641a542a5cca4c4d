package agent

import (
	"strings"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// cacheKey returns the name under which an engine caches a chat. It holds the
// account, so that no account ever finds another one's cache.
func cacheKey(key wire.ChatKey) ryeford.ChatID {
	return ryeford.ChatID(string(key.Account) + "/" + string(key.Chat))
}

// parseCacheKey returns the chat that an engine's name of it means.
func parseCacheKey(id ryeford.ChatID) wire.ChatKey {
	account, chat, _ := strings.Cut(string(id), "/")
	return wire.ChatKey{Account: ryeford.AccountID(account), Chat: ryeford.ChatID(chat)}
}
