package wire

import (
	"time"

	"github.com/ryeford/ryeford"
)

// A Dispatch asks an agent to run an attempt of a completion or a call. Field numbers 11
// (formerly the caller's deadline) and 15 are unused.
type Dispatch struct {
	Request ryeford.RequestID `cbor:"1,keyasint"`
	Attempt ryeford.AttemptID `cbor:"2,keyasint"`
	Account ryeford.AccountID `cbor:"3,keyasint"`
	Chat    ryeford.ChatID    `cbor:"4,keyasint"`
	// Engine is the engine or service of the agent's VM that is to run the attempt.
	Engine ryeford.EngineID `cbor:"5,keyasint"`
	// Incarnation is the agent's incarnation in the router's inventory. Another
	// incarnation refuses the dispatch, since it has no record of earlier admissions.
	Incarnation ryeford.Incarnation `cbor:"6,keyasint"`
	Priority    ryeford.Priority    `cbor:"7,keyasint"`
	// Share is the fraction of an engine that the account is entitled to, from 0 to 1.
	Share float64 `cbor:"8,keyasint"`
	// Repeatable reports whether the request may run more than once.
	Repeatable bool `cbor:"9,keyasint"`
	// Expires is the time after which the agent must not admit the attempt.
	Expires time.Time `cbor:"10,keyasint"`
	// RetainUntil is the time until which the agent must retain the record of the admission.
	RetainUntil time.Time `cbor:"12,keyasint"`
	// PoolMean is the router's estimate of the mean load, in requests, of the
	// engines that serve the model.
	PoolMean float64 `cbor:"13,keyasint"`
	// MayRedirect allows the agent to redirect the router to the engine that holds the
	// chat's prefix.
	MayRedirect bool `cbor:"14,keyasint,omitempty"`
	// Offset is the offset of the first chunk. It is above 0 if the attempt continues an
	// answer of another attempt.
	Offset     int64               `cbor:"16,keyasint,omitempty"`
	Completion *ryeford.Completion `cbor:"17,keyasint,omitempty"` // nil for a call
	Call       *ryeford.Call       `cbor:"18,keyasint,omitempty"` // nil for a completion
	// Wait is how long the dispatch may wait for the engine's load to fall if the engine
	// holds the chat's prefix.
	Wait time.Duration `cbor:"19,keyasint,omitempty"`
	// Sent is when the router sent the dispatch and estimated PoolMean, by the router's
	// clock; the agent converts it to its own clock. Zero if unknown.
	Sent time.Time `cbor:"20,keyasint,omitzero"`
}

// ChatKey returns the key of the dispatch's chat.
func (d *Dispatch) ChatKey() ChatKey {
	return ChatKey{Account: d.Account, Chat: d.Chat}
}

// A Join asks for the answer of an attempt that may have been admitted. If it was not
// admitted, the agent records a tombstone, which prevents the attempt from running.
type Join struct {
	Account     ryeford.AccountID   `cbor:"1,keyasint"`
	Attempt     ryeford.AttemptID   `cbor:"2,keyasint"`
	Incarnation ryeford.Incarnation `cbor:"3,keyasint"`
	// Offset is the offset of the first chunk to send.
	Offset int64 `cbor:"4,keyasint"`
	// Expires and RetainUntil are those of the dispatch, which may still arrive.
	Expires     time.Time `cbor:"5,keyasint"`
	RetainUntil time.Time `cbor:"6,keyasint"`
	// Peek makes the agent record no tombstone.
	Peek bool `cbor:"7,keyasint,omitempty"`
}

// An Admitted reports that the agent runs or has run an attempt.
type Admitted struct {
	Attempt ryeford.AttemptID `cbor:"1,keyasint"`
	// Load is the engine's load, in requests, before the attempt was admitted.
	Load float64 `cbor:"2,keyasint"`
	// Warm reports whether the engine is expected to have cached the chat's prefix.
	Warm bool `cbor:"3,keyasint,omitempty"`
	// Request is the request for which the attempt was first dispatched.
	Request ryeford.RequestID `cbor:"4,keyasint"`
}

// A Refused reports that an attempt did not run and never will, unless MayHaveRun is
// set.
type Refused struct {
	Attempt ryeford.AttemptID `cbor:"1,keyasint"`
	Reason  ryeford.Reason    `cbor:"2,keyasint"`
	// RetryAfter is the estimated time until the engine has capacity; zero if unknown.
	RetryAfter time.Duration `cbor:"3,keyasint"`
	// Load is the engine's load, in requests, if the refusal depends on it.
	Load float64 `cbor:"4,keyasint"`
	// Engine is the engine that holds the chat's prefix, with ReasonRedirect.
	Engine ryeford.EngineID `cbor:"5,keyasint,omitempty"`
	// Incarnation is the agent's current incarnation.
	Incarnation ryeford.Incarnation `cbor:"6,keyasint,omitempty"`
	// Bound is the engine's maximum load, in requests, for the highest priority.
	Bound float64 `cbor:"7,keyasint,omitempty"`
	// MayHaveRun reports that the attempt may have run or may still run.
	MayHaveRun bool `cbor:"8,keyasint,omitempty"`
}

// A Cancel reports that the caller abandoned the request. The agent cancels the run if
// the request is repeatable.
type Cancel struct{}

// A Frame is one chunk of the answer to a request.
type Frame struct {
	Request ryeford.RequestID `cbor:"1,keyasint"`
	chunk
	// Usage is the usage of the chunk. It is set on the last frame only.
	Usage *ryeford.Usage `cbor:"7,keyasint,omitempty"`
}

// A chunk is embedded in a Frame, so that its fields become fields of the message.
type chunk = ryeford.Chunk

// NewFrame returns the frame for a chunk.
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
