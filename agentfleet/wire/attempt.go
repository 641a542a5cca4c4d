package wire

import (
	"time"

	"github.com/ryeford/ryeford"
)

// A Dispatch asks an agent to run an attempt.
type Dispatch struct {
	Request     ryeford.RequestID   `cbor:"1,keyasint"`
	Attempt     ryeford.AttemptID   `cbor:"2,keyasint"`
	Account     ryeford.AccountID   `cbor:"3,keyasint"`
	Chat        ryeford.ChatID      `cbor:"4,keyasint"`
	Engine      ryeford.EngineID    `cbor:"5,keyasint"`
	Incarnation ryeford.Incarnation `cbor:"6,keyasint"`
	Priority    ryeford.Priority    `cbor:"7,keyasint"`
	Share       float64             `cbor:"8,keyasint"`
	Repeatable  bool                `cbor:"9,keyasint"`
	// Expires is the last moment at which the agent may admit the attempt.
	Expires time.Time `cbor:"10,keyasint"`
	// Forget is until when the agent must know that it admitted the attempt.
	Forget time.Time `cbor:"12,keyasint"`
	// PoolMean is the router's estimate of the mean load of the engines that
	// serve the model.
	PoolMean float64 `cbor:"13,keyasint"`
	// MayRedirect lets the engine point to the one that holds the chat's prefix.
	MayRedirect bool                `cbor:"14,keyasint,omitempty"`
	Offset      int64               `cbor:"16,keyasint,omitempty"`
	Completion  *ryeford.Completion `cbor:"17,keyasint,omitempty"`
	Call        *ryeford.Call       `cbor:"18,keyasint,omitempty"`
	// Wait is how long the dispatch may wait for the load of an engine that
	// holds the chat's prefix.
	Wait time.Duration `cbor:"19,keyasint,omitempty"`
}

// ChatKey returns the key of the dispatch's chat.
func (d *Dispatch) ChatKey() ChatKey {
	return ChatKey{Account: d.Account, Chat: d.Chat}
}

// A Join asks for the answer of an attempt that may have been admitted. Where
// it was not, the agent leaves a tombstone, and the attempt can never run.
type Join struct {
	Account     ryeford.AccountID   `cbor:"1,keyasint"`
	Attempt     ryeford.AttemptID   `cbor:"2,keyasint"`
	Incarnation ryeford.Incarnation `cbor:"3,keyasint"`
	Offset      int64               `cbor:"4,keyasint"`
	// Expires and Forget are those of the dispatch that may be under way.
	Expires time.Time `cbor:"5,keyasint"`
	Forget  time.Time `cbor:"6,keyasint"`
	// Peek asks not to leave a tombstone.
	Peek bool `cbor:"7,keyasint,omitempty"`
}

// An Admitted says that an attempt runs, or has run, here.
type Admitted struct {
	Attempt ryeford.AttemptID `cbor:"1,keyasint"`
	// Load is the engine's load before the attempt was admitted.
	Load float64 `cbor:"2,keyasint"`
	// Warm is true where the agent believes the chat's prefix is cached.
	Warm bool `cbor:"3,keyasint,omitempty"`
	// Request is the request that the attempt was first dispatched for.
	Request ryeford.RequestID `cbor:"4,keyasint"`
}

// A Refused says that an attempt did not run, and by this answer never will.
type Refused struct {
	Attempt     ryeford.AttemptID   `cbor:"1,keyasint"`
	Reason      ryeford.Reason      `cbor:"2,keyasint"`
	RetryAfter  time.Duration       `cbor:"3,keyasint"`
	Load        float64             `cbor:"4,keyasint"`
	Engine      ryeford.EngineID    `cbor:"5,keyasint,omitempty"`
	Incarnation ryeford.Incarnation `cbor:"6,keyasint,omitempty"`
	// Bound is the load up to which the engine would have admitted.
	Bound float64 `cbor:"7,keyasint,omitempty"`
	// Unknown is set where the agent can't prove that the attempt did not run.
	Unknown bool `cbor:"8,keyasint,omitempty"`
}

// A Cancel says that the caller gave the request up.
type Cancel struct{}
