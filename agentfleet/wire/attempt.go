package wire

import (
	"time"

	"github.com/ryeford/ryeford"
)

// A Dispatch asks an agent to run an attempt: a completion or a call. Numbers 11
// and 15 are free; 11 was the caller's deadline.
type Dispatch struct {
	Request ryeford.RequestID `cbor:"1,keyasint"`
	Attempt ryeford.AttemptID `cbor:"2,keyasint"`
	Account ryeford.AccountID `cbor:"3,keyasint"`
	Chat    ryeford.ChatID    `cbor:"4,keyasint"`
	// Engine is the engine or service of the agent's VM that is to run it.
	Engine ryeford.EngineID `cbor:"5,keyasint"`
	// Incarnation is the life of the agent's process that the router knows. Another
	// one refuses, since it does not remember what was admitted before.
	Incarnation ryeford.Incarnation `cbor:"6,keyasint"`
	Priority    ryeford.Priority    `cbor:"7,keyasint"`
	// Share is the part of an engine that the account is entitled to, from 0 to 1.
	Share float64 `cbor:"8,keyasint"`
	// Repeatable says that the request may run more than once.
	Repeatable bool `cbor:"9,keyasint"`
	// Expires is the last moment at which the agent may admit the attempt.
	Expires time.Time `cbor:"10,keyasint"`
	// Forget is until when the agent must remember that it admitted the attempt.
	Forget time.Time `cbor:"12,keyasint"`
	// PoolMean is the router's estimate of the mean load, in requests, of the
	// engines that serve the model.
	PoolMean float64 `cbor:"13,keyasint"`
	// MayRedirect lets the engine refuse with the one that holds the chat's prefix.
	MayRedirect bool `cbor:"14,keyasint,omitempty"`
	// Offset is the number of the answer's first chunk: above 0 if the attempt goes
	// on with an answer that another attempt began.
	Offset     int64               `cbor:"16,keyasint,omitempty"`
	Completion *ryeford.Completion `cbor:"17,keyasint,omitempty"` // nil for a call
	Call       *ryeford.Call       `cbor:"18,keyasint,omitempty"` // nil for a completion
	// Wait is how long the dispatch may wait for the load of an engine to fall that
	// holds the chat's prefix. Zero: not at all.
	Wait time.Duration `cbor:"19,keyasint,omitempty"`
	// Sent is when the router sent the dispatch, and estimated PoolMean, by its own clock;
	// the agent replaces it by the time of its own clock. Zero: not known.
	Sent time.Time `cbor:"20,keyasint,omitzero"`
}

// ChatKey returns the key of the dispatch's chat.
func (d *Dispatch) ChatKey() ChatKey {
	return ChatKey{Account: d.Account, Chat: d.Chat}
}

// A Join asks for the answer of an attempt that may have been admitted. If it was
// not, the agent leaves a tombstone, and the attempt can never run.
type Join struct {
	Account     ryeford.AccountID   `cbor:"1,keyasint"`
	Attempt     ryeford.AttemptID   `cbor:"2,keyasint"`
	Incarnation ryeford.Incarnation `cbor:"3,keyasint"`
	// Offset is the number of the first chunk that the router lacks.
	Offset int64 `cbor:"4,keyasint"`
	// Expires and Forget are those of the dispatch that may be under way.
	Expires time.Time `cbor:"5,keyasint"`
	Forget  time.Time `cbor:"6,keyasint"`
	// Peek asks not to leave a tombstone.
	Peek bool `cbor:"7,keyasint,omitempty"`
}

// An Admitted says that an attempt runs, or has run, here.
type Admitted struct {
	Attempt ryeford.AttemptID `cbor:"1,keyasint"`
	// Load is the engine's load, in requests, before the attempt was admitted.
	Load float64 `cbor:"2,keyasint"`
	// Warm says that the agent believes the chat's prefix to be cached.
	Warm bool `cbor:"3,keyasint,omitempty"`
	// Request is the request that the attempt was first dispatched for.
	Request ryeford.RequestID `cbor:"4,keyasint"`
}

// A Refused says that an attempt did not run, and by this answer never will, unless
// Unknown is set.
type Refused struct {
	Attempt ryeford.AttemptID `cbor:"1,keyasint"`
	Reason  ryeford.Reason    `cbor:"2,keyasint"`
	// RetryAfter is when the engine is likely to have room; zero if not known.
	RetryAfter time.Duration `cbor:"3,keyasint"`
	// Load is the engine's load in requests, with a refusal that depends on it.
	Load float64 `cbor:"4,keyasint"`
	// Engine holds the chat's prefix, with ReasonRedirect.
	Engine ryeford.EngineID `cbor:"5,keyasint,omitempty"`
	// Incarnation is that of the agent's process now.
	Incarnation ryeford.Incarnation `cbor:"6,keyasint,omitempty"`
	// Bound is the load up to which the engine would have admitted, in requests.
	Bound float64 `cbor:"7,keyasint,omitempty"`
	// Unknown is set if the agent can't prove that the attempt did not run.
	Unknown bool `cbor:"8,keyasint,omitempty"`
}

// A Cancel says that the caller gave the request up. The agent ends the run if it
// is repeatable.
type Cancel struct{}

// A Frame is one chunk of an answer to a request.
type Frame struct {
	Request ryeford.RequestID `cbor:"1,keyasint"`
	chunk
	// Usage is the chunk's, which is set on the last frame only.
	Usage *ryeford.Usage `cbor:"7,keyasint,omitempty"`
}

// A chunk is embedded in a Frame, so that its fields are those of the message.
type chunk = ryeford.Chunk

// NewFrame returns the frame of a chunk.
func NewFrame(request ryeford.RequestID, c *ryeford.Chunk) *Frame {
	f := &Frame{Request: request, chunk: *c}
	if c.Finish != "" {
		f.Usage = &c.Usage
	}
	return f
}

// Chunk returns the chunk of a frame.
func (f *Frame) Chunk() ryeford.Chunk {
	c := f.chunk
	if f.Usage != nil {
		c.Usage = *f.Usage
	}
	return c
}
