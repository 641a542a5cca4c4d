package ryeford

import (
	"context"
	"strings"
	"time"
)

// A CacheEvent says that an engine stored or evicted a chat's prefix. Events come
// late and with gaps in Sequence.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Chat     ChatID `json:"chat"`
	Evicted  bool   `json:"evicted"`
}

// An Order says which pools an engine is to load and serve. An engine that checks
// fences refuses an order whose epoch is below the highest it has seen.
type Order struct {
	Epoch int64  `json:"epoch"` // of the planner's lease
	Pools []Pool `json:"pools"`
}

// A ChunkReader yields the chunks of one running answer.
type ChunkReader interface {
	// Next returns the next chunk as it came: perhaps late, repeated, out of
	// order or of another attempt. io.EOF ends the stream.
	Next() (Chunk, error)
	// Close stops reading without cancelling the run.
	Close() error
}

// An Engine is one model engine. An error but for those named below does not say
// whether the call had an effect.
type Engine interface {
	// Complete starts an attempt.
	Complete(ctx context.Context, chat ChatID, completion *Completion) (ChunkReader, error)
	// Resume reads a started attempt again, from the chunk at an offset.
	Resume(ctx context.Context, attempt AttemptID, offset int64) (ChunkReader, error)
	// Cancel stops an attempt.
	Cancel(ctx context.Context, attempt AttemptID) error
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
	// ExportCache returns a chat's KV cache, or a *NotFoundError.
	ExportCache(ctx context.Context, chat ChatID) ([]byte, error)
	// ImportCache puts a chat's KV cache into the engine.
	ImportCache(ctx context.Context, chat ChatID, cache []byte) error
	// Serving returns the pools that the engine has ready, and the highest
	// epoch it has seen.
	Serving(ctx context.Context) (Order, error)
	// Order makes the engine load and serve pools. It returns a *FenceError if the
	// engine has seen a newer epoch.
	Order(ctx context.Context, order Order) error
}

// A Service is a plain service beside the engines.
type Service interface {
	// Call runs one call.
	Call(ctx context.Context, call *Call) (ChunkReader, error)
}

// A Message is one message of a chat.
type Message struct {
	Role    string `cbor:"1,keyasint" json:"role"`
	Content string `cbor:"2,keyasint" json:"content"`
}

// A Completion is what an engine is asked to run.
type Completion struct {
	Attempt  AttemptID `cbor:"1,keyasint"`
	Pool     Pool      `cbor:"2,keyasint"`
	Priority Priority  `cbor:"3,keyasint"`
	Messages []Message `cbor:"4,keyasint"`
	// MaxTokens bounds the answer; zero leaves the bound to the engine.
	MaxTokens int `cbor:"5,keyasint,omitempty"`
	// Prefix is text of the answer that the caller already has; the engine
	// continues after it.
	Prefix string `cbor:"6,keyasint,omitempty"`
	// Admitted is when the engine's agent admitted the attempt, by its clock; only the
	// engine is told.
	Admitted time.Time `cbor:"-"`
}

// A Call is a call of a plain service.
type Call struct {
	Attempt     AttemptID `cbor:"1,keyasint"`
	Method      string    `cbor:"2,keyasint"`
	Path        string    `cbor:"3,keyasint"` // with the query, as the caller wrote it
	ContentType string    `cbor:"4,keyasint,omitempty"`
	Body        []byte    `cbor:"5,keyasint,omitempty"`
	// Repeatable says that the caller allows the call to run more than once.
	Repeatable bool `cbor:"6,keyasint"`
}

// A FinishReason says why an answer ended. The codes are those of the engines' API.
type FinishReason string

// The finish reasons. All but FinishError end a complete answer.
const (
	FinishStop          FinishReason = "stop"
	FinishLength        FinishReason = "length"
	FinishContentFilter FinishReason = "content_filter"
	FinishError         FinishReason = "error"
)

// A Usage counts the tokens of an answer, as the engine reports them.
type Usage struct {
	PromptTokens int `cbor:"1,keyasint" json:"prompt_tokens"`
	// CachedTokens are those of PromptTokens that the engine had in its cache.
	CachedTokens     int `cbor:"2,keyasint" json:"cached_tokens"`
	CompletionTokens int `cbor:"3,keyasint" json:"completion_tokens"`
}

// A Chunk is one piece of an answer. Chunks of an attempt are numbered from its
// first offset without a gap.
type Chunk struct {
	Attempt AttemptID `cbor:"2,keyasint"`
	// Offset counts the chunks of the answer before this one, not bytes.
	Offset int64  `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint,omitempty"`
	// Finish is set on the last chunk only.
	Finish FinishReason `cbor:"5,keyasint,omitempty"`
	// Failure is the engine's own error text, with FinishError.
	Failure string `cbor:"6,keyasint,omitempty"`
	// Reason is the system's own code for a failure, with FinishError.
	Reason Reason `cbor:"10,keyasint,omitempty"`
	// NotRun says, with FinishError, that the attempt provably did not run.
	NotRun bool `cbor:"11,keyasint,omitempty"`
	// Usage is set on the last chunk of a completion. Number 7 on the wire is that of the
	// message, which leaves it out before.
	Usage Usage `cbor:"-"`
	// Status and ContentType are set on the first chunk of a service's answer.
	Status      int    `cbor:"8,keyasint,omitempty"`
	ContentType string `cbor:"9,keyasint,omitempty"`
}

// A Pool is what an engine must have loaded to serve a request: a model, with an
// adapter and a version if those are set. Pools that differ in a part are different.
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
