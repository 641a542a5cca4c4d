// Package answer assembles answers from chunks that may arrive late, repeated, out of
// order or from another attempt (Assembler), and stores them for readers that reconnect
// (Log).
//
// It relies on the sender to number the chunks of an attempt without gaps and to mark
// the last one. It does no I/O.
package answer

import "github.com/ryeford/ryeford"

// maxPending is how many chunks ahead of the next one an Assembler keeps, to limit its
// memory. A chunk further ahead is dropped, and the answer stalls there until the chunk
// is sent again.
const maxPending = 1024

// DropCounts counts the chunks that an Assembler dropped.
type DropCounts struct {
	Foreign  int // of another attempt
	Repeated int // received before
	Overflow int // too far ahead
}

// An Assembler returns the chunks of one attempt in order, each once.
//
// An Assembler is not safe for concurrent use.
type Assembler struct {
	attempt  ryeford.AttemptID
	next     int64                   // offset of the next chunk to return
	pending  map[int64]ryeford.Chunk // chunks after a gap, by offset
	finished bool
	dropped  DropCounts
}

// NewAssembler returns an Assembler that begins at an offset.
func NewAssembler(attempt ryeford.AttemptID, offset int64) *Assembler {
	return &Assembler{
		attempt: attempt,
		next:    offset,
		pending: make(map[int64]ryeford.Chunk),
	}
}

// Add adds one chunk and returns those that are ready, in order. It drops chunks of
// another attempt, repeated chunks, chunks after the last one, and chunks that are
// maxPending or more ahead.
func (a *Assembler) Add(chunk ryeford.Chunk) []ryeford.Chunk {
	_, kept := a.pending[chunk.Offset]
	switch {
	case chunk.Attempt != a.attempt:
		a.dropped.Foreign++
		return nil
	case chunk.Offset < a.next || kept || a.finished:
		a.dropped.Repeated++
		return nil
	case chunk.Offset-a.next >= maxPending:
		a.dropped.Overflow++
		return nil
	}
	a.pending[chunk.Offset] = chunk
	var ready []ryeford.Chunk
	for next, ok := a.pending[a.next]; ok && !a.finished; next, ok = a.pending[a.next] {
		delete(a.pending, a.next)
		a.next++
		a.finished = next.Finish != ""
		ready = append(ready, next)
	}
	return ready
}

// Dropped returns the counts of dropped chunks so far.
func (a *Assembler) Dropped() DropCounts { return a.dropped }

// Finished reports whether the last chunk was returned.
func (a *Assembler) Finished() bool { return a.finished }

// Next returns the offset of the next chunk to return.
func (a *Assembler) Next() int64 { return a.next }
