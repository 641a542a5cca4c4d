// Package answer puts answers together from chunks that may come late,
// repeated, out of order or of another attempt (Assembler), and keeps them for
// readers that come again (Log).
//
// It relies on the sender to number the chunks of an attempt without a gap and to
// mark the last one. It does no I/O, and owns nothing beyond one answer.
package answer

import "github.com/ryeford/ryeford"

// maxPending is how many chunks ahead of the next one an Assembler keeps. It bounds
// memory; a chunk further ahead is dropped, and the answer stalls there until it is
// sent again.
const maxPending = 1024

// Dropped counts the chunks that an Assembler neither passed on nor kept.
type Dropped struct {
	Foreign  int // of another attempt
	Repeated int // seen before
	Overflow int // too far ahead
}

// An Assembler passes on the chunks of one attempt in their order, each once.
//
// An Assembler must not be used by two goroutines at once.
type Assembler struct {
	attempt  ryeford.AttemptID
	next     int64                   // offset of the next chunk to pass on
	pending  map[int64]ryeford.Chunk // those after a gap, by offset
	finished bool
	dropped  Dropped
}

// NewAssembler returns an Assembler that begins at an offset.
func NewAssembler(attempt ryeford.AttemptID, offset int64) *Assembler {
	return &Assembler{
		attempt: attempt,
		next:    offset,
		pending: make(map[int64]ryeford.Chunk),
	}
}

// Add takes one chunk and returns those that can be passed on now, in order. It
// drops a chunk of another attempt, one that it had before or that follows the
// end, and one that is maxPending or more ahead.
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

// Dropped returns the counts so far.
func (a *Assembler) Dropped() Dropped { return a.dropped }

// Finished reports whether the last chunk was passed on.
func (a *Assembler) Finished() bool { return a.finished }

// Next returns the offset of the next chunk to pass on.
func (a *Assembler) Next() int64 { return a.next }
