package wire

import "github.com/ryeford/ryeford"

// A Successors asks a router for the next candidates of chats whose engine
// is leaving.
type Successors struct {
	Pool    ryeford.Pool `cbor:"1,keyasint"` // that served the chats
	Chats   []ChatKey    `cbor:"2,keyasint"`
	Leaving ryeford.VMID `cbor:"3,keyasint"` // no candidate is on it
}

// A ChatKey names a chat among those of all accounts.
type ChatKey struct {
	Account ryeford.AccountID `cbor:"1,keyasint"`
	Chat    ryeford.ChatID    `cbor:"2,keyasint"`
}

// A Placement is the next candidate of one chat.
type Placement struct {
	Engine ryeford.EngineID `cbor:"1,keyasint"`
	// Address is that of the engine's agent, as IP:port.
	Address string `cbor:"2,keyasint"`
}

// Placements answers Successors, in the order of its chats. An empty engine means
// that there is no candidate.
type Placements struct {
	Placements []Placement `cbor:"1,keyasint"`
}

// An Import hands a chat's KV cache to another engine.
type Import struct {
	Engine ryeford.EngineID `cbor:"1,keyasint"`
	Chat   ChatKey          `cbor:"2,keyasint"`
	Cache  []byte           `cbor:"3,keyasint"` // as the engine exported it
	Pool   ryeford.Pool     `cbor:"4,keyasint"` // that served the chat
}
