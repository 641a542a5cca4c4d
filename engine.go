package ryeford

import (
	"context"
	"strings"
	"time"
)

// A CacheEvent records that an engine stored or evicted a chat's prefix. Events may arrive
// late and with gaps in Sequence.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Chat     ChatID `json:"chat"`
	Evicted  bool   `json:"evicted"`
}

// An Order states which pools an engine is to load and serve. An engine with fencing refuses an
// order whose epoch is lower than the highest that it has received.
type Order struct {
	Epoch int64  `json:"epoch"` // of the planner's lease
	Pools []Pool `json:"pools"`
}

// A ChunkReader reads the chunks of one running answer.
type ChunkReader interface {
	// Next returns the next chunk as received. It may be late, repeated, out of order, or of
	// another attempt. io.EOF ends the stream.
	Next() (Chunk, error)
	// Close stops reading without cancelling the run.
	Close() error
}

// An Engine is a client of one model engine. Package agentfleet/engine implements it. After any
// error other than those named below it is unknown whether the call had an effect.
type Engine interface {
	// Complete starts an attempt.
	Complete(ctx context.Context, chat ChatID, completion *Completion) (ChunkReader, error)
	// Resume reads a started attempt again, beginning with the chunk at offset.
	Resume(ctx context.Context, attempt AttemptID, offset int64) (ChunkReader, error)
	// Cancel stops an attempt.
	Cancel(ctx context.Context, attempt AttemptID) error
	// CacheEvents returns the events whose sequence number is greater than after.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
	// ExportCache returns a chat's KV cache, or a *NotFoundError.
	ExportCache(ctx context.Context, chat ChatID) ([]byte, error)
	// ImportCache stores a chat's KV cache in the engine.
	ImportCache(ctx context.Context, chat ChatID, cache []byte) error
	// Serving returns the pools that the engine has loaded, and the highest epoch that it has
	// received.
	Serving(ctx context.Context) (Order, error)
	// Order makes the engine load and serve pools. It returns a *FenceError if the engine has
	// received a newer epoch.
	Order(ctx context.Context, order Order) error
}

// A Service is a client of a plain service. Package agentfleet/engine implements it.
type Service interface {
	// Call runs one call.
	Call(ctx context.Context, call *Call) (ChunkReader, error)
}

// A Message is one message of a chat.
type Message struct {
	Role    string `cbor:"1,keyasint" json:"role"`
	Content string `cbor:"2,keyasint" json:"content"`
}

// A Completion is a request for an engine to generate an answer.
type Completion struct {
	Attempt  AttemptID `cbor:"1,keyasint"`
	Pool     Pool      `cbor:"2,keyasint"`
	Priority Priority  `cbor:"3,keyasint"`
	Messages []Message `cbor:"4,keyasint"`
	// MaxTokens limits the length of the answer. Zero uses the engine's own limit.
	MaxTokens int `cbor:"5,keyasint,omitempty"`
	// Prefix is the beginning of the answer, which the caller already has. The engine
	// continues after it.
	Prefix string `cbor:"6,keyasint,omitempty"`
	// Admitted is when the engine's agent admitted the attempt, by the agent's clock. It is
	// sent to the engine only.
	Admitted time.Time `cbor:"-"`
}

// A Call is a call of a plain service.
type Call struct {
	Attempt     AttemptID `cbor:"1,keyasint"`
	Method      string    `cbor:"2,keyasint"`
	Path        string    `cbor:"3,keyasint"` // including the query, as the caller sent it
	ContentType string    `cbor:"4,keyasint,omitempty"`
	Body        []byte    `cbor:"5,keyasint,omitempty"`
	// Repeatable means that the caller allows the call to run more than once.
	Repeatable bool `cbor:"6,keyasint"`
}

// A FinishReason is the reason why an answer ended, as a code of the engines' API.
type FinishReason string

// The finish reasons. An answer that ends with FinishError is incomplete.
const (
	FinishStop          FinishReason = "stop"
	FinishLength        FinishReason = "length"
	FinishContentFilter FinishReason = "content_filter"
	FinishError         FinishReason = "error"
)

// A Usage holds the token counts of an answer, as reported by the engine.
type Usage struct {
	PromptTokens int `cbor:"1,keyasint" json:"prompt_tokens"`
	// CachedTokens is the part of PromptTokens that the engine had in its cache.
	CachedTokens     int `cbor:"2,keyasint" json:"cached_tokens"`
	CompletionTokens int `cbor:"3,keyasint" json:"completion_tokens"`
}

// A Chunk is one piece of an answer. The offsets of an attempt's chunks increase by one,
// without gaps.
type Chunk struct {
	Attempt AttemptID `cbor:"2,keyasint"`
	// Offset is the number of chunks, not bytes, of the answer before this one.
	Offset int64  `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint,omitempty"`
	// Finish is set on the last chunk only.
	Finish FinishReason `cbor:"5,keyasint,omitempty"`
	// Failure is the engine's error message. It is set with FinishError.
	Failure string `cbor:"6,keyasint,omitempty"`
	// Reason is the code of the failure. It is set with FinishError.
	Reason Reason `cbor:"10,keyasint,omitempty"`
	// NotRun means, with FinishError, that the attempt provably did not run.
	NotRun bool `cbor:"11,keyasint,omitempty"`
	// Usage is set on the last chunk of a completion. The message that carries the chunk
	// encodes it, as number 7 and on the last chunk only.
	Usage Usage `cbor:"-"`
	// Status and ContentType are set on the first chunk of a service's answer.
	Status      int    `cbor:"8,keyasint,omitempty"`
	ContentType string `cbor:"9,keyasint,omitempty"`
}

// A Pool identifies what an engine must have loaded to serve a request: a model, and
// optionally an adapter and a version. Two pools are the same only if all fields are equal.
type Pool struct {
	Model   string `cbor:"1,keyasint,omitempty" json:"model" yaml:"model"`
	Adapter string `cbor:"2,keyasint,omitempty" json:"adapter,omitempty" yaml:"adapter"`
	Version string `cbor:"3,keyasint,omitempty" json:"version,omitempty" yaml:"version"`
}

// String returns the pool as model[+adapter][@version].
func (p Pool) String() string {
	var b strings.Builder
	b.WriteString(p.Model)
	if p.Adapter != "" {
		b.WriteString("+" + p.Adapter)
	}
	if p.Version != "" {
		b.WriteString("@" + p.Version)
	}
	return b.String()
}
