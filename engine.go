package ryeford

import "context"

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
