package wire

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

func testDispatch() *Message {
	now := time.Unix(1_700_000_000, 0).UTC()
	return &Message{Dispatch: &Dispatch{
		Request: "da11b1f1-3ad4-47c5-98e6-70a360c6b120", Attempt: "d58f7a56-9fd9-4542-8d3a-eb54ab0bd971",
		Account: "bank", Chat: "chat-1", Engine: "endpoint-1.1", Incarnation: "66457780-212a-4f3c-9a2e-9344b5e966b2",
		Priority: 5, Share: 0.5, Repeatable: true, Expires: now, RetainUntil: now, PoolMean: 7.25,
		Completion: &ryeford.Completion{
			Pool:     ryeford.Pool{Model: "lira"},
			Messages: []ryeford.Message{{Role: "user", Content: "good morning"}},
		},
	}}
}

func TestRoundTrip(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, WriteMessage(&b, testDispatch()))
	m, err := ReadMessage(&b)
	assert.NilError(t, err)
	assert.DeepEqual(t, m, testDispatch())
}

// TestFrame checks the field numbers of an encoded chunk and that it is decoded unchanged.
// Only the last frame includes the usage.
func TestFrame(t *testing.T) {
	usage := ryeford.Usage{PromptTokens: 3}
	encodedUsage := map[any]any{uint64(1): uint64(3), uint64(2): uint64(0), uint64(3): uint64(0)}
	for _, test := range []struct {
		name  string
		chunk ryeford.Chunk
		want  map[int]any
	}{
		{"a token", ryeford.Chunk{Attempt: "a", Offset: 3, Data: []byte("x")}, map[int]any{
			1: "r", 2: "a", 3: uint64(3), 4: []byte("x"),
		}},
		{"the last chunk", ryeford.Chunk{Attempt: "a", Finish: ryeford.FinishStop, Usage: usage}, map[int]any{
			1: "r", 2: "a", 3: uint64(0), 5: "stop", 7: encodedUsage,
		}},
		{"a failure", ryeford.Chunk{
			Attempt: "a", Finish: ryeford.FinishError, Failure: "f", Reason: ryeford.ReasonOverload, NotRun: true, Usage: usage,
		}, map[int]any{
			1: "r", 2: "a", 3: uint64(0), 5: "error", 6: "f", 7: encodedUsage, 10: "overload", 11: true,
		}},
		{"a chunk of a service", ryeford.Chunk{Attempt: "a", Status: 200, ContentType: "text/plain"}, map[int]any{
			1: "r", 2: "a", 3: uint64(0), 8: uint64(200), 9: "text/plain",
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			data, err := Marshal(NewFrame("r", &test.chunk))
			assert.NilError(t, err)
			var fields map[int]any
			assert.NilError(t, Unmarshal(data, &fields))
			assert.DeepEqual(t, fields, test.want)
			var frame Frame
			assert.NilError(t, Unmarshal(data, &frame))
			assert.DeepEqual(t, frame.Chunk(), test.chunk)
		})
	}
}

func TestReadMessageTooLarge(t *testing.T) {
	_, err := ReadMessage(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff}))
	var size *SizeError
	assert.Assert(t, errors.As(err, &size))
}

// FuzzReadMessage checks that no input crashes ReadMessage, and that each accepted message
// can be written and read again.
func FuzzReadMessage(f *testing.F) {
	var b bytes.Buffer
	assert.NilError(f, WriteMessage(&b, testDispatch()))
	f.Add(b.Bytes())
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Add([]byte{0, 0, 0, 9, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := ReadMessage(bytes.NewReader(data))
		if err != nil {
			return
		}
		var rewritten bytes.Buffer
		assert.NilError(t, WriteMessage(&rewritten, m))
		_, err = ReadMessage(&rewritten)
		assert.NilError(t, err)
	})
}

func BenchmarkRoundTrip(b *testing.B) {
	m := testDispatch()
	benchmarkMessage(b, m)
}

func BenchmarkFrame(b *testing.B) {
	m := &Message{Frame: NewFrame("da11b1f1-3ad4-47c5-98e6-70a360c6b120", &ryeford.Chunk{
		Attempt: "d58f7a56-9fd9-4542-8d3a-eb54ab0bd971", Offset: 12, Data: []byte("token "),
	})}
	benchmarkMessage(b, m)
}

// benchmarkMessage measures writing and reading a message.
func benchmarkMessage(b *testing.B, m *Message) {
	var buf bytes.Buffer
	b.ReportAllocs()
	for b.Loop() {
		buf.Reset()
		if err := WriteMessage(&buf, m); err != nil {
			b.Fatal(err)
		}
		if _, err := ReadMessage(&buf); err != nil {
			b.Fatal(err)
		}
	}
}
