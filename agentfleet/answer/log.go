package answer

import (
	"context"
	"fmt"
	"sync"

	"github.com/ryeford/ryeford"
)

// A Log stores the chunks of one answer for any number of readers, each at its own
// offset. Its methods may be called concurrently.
type Log struct {
	first int64 // offset of the first chunk

	mu       sync.Mutex
	chunks   []ryeford.Chunk
	finished bool
	changed  chan struct{} // closed by the next Append
}

// NewLog returns an empty Log that begins at an offset.
func NewLog(offset int64) *Log {
	return &Log{first: offset, changed: make(chan struct{})}
}

// Append adds the next chunk and notifies the readers. Chunks after the last one of an
// answer are dropped.
func (l *Log) Append(chunk ryeford.Chunk) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.finished {
		return
	}
	l.chunks = append(l.chunks, chunk)
	l.finished = chunk.Finish != ""
	close(l.changed)
	l.changed = make(chan struct{})
}

// Read returns the chunks from an offset on, and blocks until there is at least one. It
// returns an *OffsetError if the offset lies before the first chunk, beyond the next
// one, or at the end of a finished answer.
func (l *Log) Read(ctx context.Context, offset int64) ([]ryeford.Chunk, error) {
	for {
		chunks, changed, err := l.chunksFrom(offset)
		if err != nil || len(chunks) > 0 {
			return chunks, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Finished reports whether the answer is complete or has failed.
func (l *Log) Finished() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finished
}

// chunksFrom returns the chunks from an offset on, and a channel that is closed when
// the next one is appended.
func (l *Log) chunksFrom(offset int64) ([]ryeford.Chunk, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	index := offset - l.first
	beyondEnd := index > int64(len(l.chunks)) || (l.finished && index == int64(len(l.chunks)))
	if index < 0 || beyondEnd {
		return nil, nil, &OffsetError{Offset: offset, First: l.first, Next: l.first + int64(len(l.chunks))}
	}
	return l.chunks[index:], l.changed, nil
}

// An OffsetError reports an offset at which the answer has no chunk and gets none next.
type OffsetError struct {
	Offset int64 // requested
	First  int64 // of the answer's first chunk
	Next   int64 // following its last chunk so far
}

func (e *OffsetError) Error() string {
	return fmt.Sprintf("offset %d is outside the answer's %d to %d", e.Offset, e.First, e.Next)
}
