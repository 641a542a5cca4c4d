package answer

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ryeford/ryeford"
)

// TestAssembler checks that each chunk is passed on once and in order when chunks
// arrive reordered, repeated or mixed with those of another attempt.
func TestAssembler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "chunks")
		offset := rapid.Int64Range(0, 100).Draw(t, "offset")
		var sent []ryeford.Chunk
		for i := range count {
			c := ryeford.Chunk{Attempt: "mine", Offset: offset + int64(i), Data: []byte{byte(i)}}
			if i == count-1 {
				c.Finish = ryeford.FinishStop
			}
			for range rapid.IntRange(1, 3).Draw(t, "copies") {
				sent = append(sent, c)
			}
			sent = append(sent, ryeford.Chunk{Attempt: "other", Offset: c.Offset, Data: []byte("x")})
		}
		asm := NewAssembler("mine", offset)
		next := offset
		for _, c := range rapid.Permutation(sent).Draw(t, "order") {
			for _, ready := range asm.Add(c) {
				assert.Equal(t, ready.Offset, next)
				assert.Equal(t, string(ready.Attempt), "mine")
				next++
			}
		}
		assert.Equal(t, next, offset+int64(count))
		assert.Assert(t, asm.Finished())
		assert.Equal(t, asm.Dropped().Foreign, count)
	})
}

// TestLogReaders checks that a reader at a valid offset gets the remaining chunks, and
// that other offsets are refused.
func TestLogReaders(t *testing.T) {
	log := NewLog(5)
	log.Append(ryeford.Chunk{Offset: 5, Data: []byte("a")})
	log.Append(ryeford.Chunk{Offset: 6, Data: []byte("b"), Finish: ryeford.FinishStop})
	chunks, err := log.Read(t.Context(), 6)
	assert.NilError(t, err)
	assert.Equal(t, len(chunks), 1)
	for _, wrong := range []int64{4, 7, 99} {
		_, err = log.Read(t.Context(), wrong)
		assert.ErrorType(t, err, &OffsetError{})
	}
}

// TestAssemblerDrops checks each reason to drop a chunk.
func TestAssemblerDrops(t *testing.T) {
	chunk := func(attempt ryeford.AttemptID, offset int64) ryeford.Chunk {
		return ryeford.Chunk{Attempt: attempt, Offset: offset}
	}
	for _, test := range []struct {
		name  string
		chunk ryeford.Chunk
		want  DropCounts
	}{
		{"the next chunk is passed on", chunk("mine", 1), DropCounts{}},
		{"a chunk after a gap is kept", chunk("mine", 4), DropCounts{}},
		{"a chunk that was passed on", chunk("mine", 0), DropCounts{Repeated: 1}},
		{"a chunk that is already kept", chunk("mine", 3), DropCounts{Repeated: 1}},
		{"a chunk of another attempt", chunk("other", 1), DropCounts{Foreign: 1}},
		{"the last chunk within the limit", chunk("mine", 1+maxPending-1), DropCounts{}},
		{"the first chunk beyond the limit", chunk("mine", 1+maxPending), DropCounts{Overflow: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			asm := NewAssembler("mine", 0)
			asm.Add(chunk("mine", 0))
			asm.Add(chunk("mine", 3))
			asm.Add(test.chunk)
			assert.Equal(t, asm.Dropped(), test.want)
		})
	}
}
