package wire

import "github.com/ryeford/ryeford"

// A Successors asks a router for the next candidates of chats whose engine
// is leaving.
type Successors struct {
	Pool    ryeford.Pool `cbor:"1,keyasint"`
	Chats   []ChatKey    `cbor:"2,keyasint"`
	Leaving ryeford.VMID `cbor:"3,keyasint"`
}

// A ChatKey names a chat across accounts.
type ChatKey struct {
	Account ryeford.AccountID `cbor:"1,keyasint"`
	Chat    ryeford.ChatID    `cbor:"2,keyasint"`
}

// A Placement is the next candidate of one chat.
type Placement struct {
	Engine  ryeford.EngineID `cbor:"1,keyasint"`
	Address string           `cbor:"2,keyasint"`
}

// Placements answers Successors, in its order. An empty engine means none.
type Placements struct {
	Placements []Placement `cbor:"1,keyasint"`
}

// An Import hands a chat's KV cache to another engine.
type Import struct {
	Engine ryeford.EngineID `cbor:"1,keyasint"`
	Chat   ChatKey          `cbor:"2,keyasint"`
	Cache  []byte           `cbor:"3,keyasint"`
	Pool   ryeford.Pool     `cbor:"4,keyasint"`
}
