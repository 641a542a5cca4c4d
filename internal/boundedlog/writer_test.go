package boundedlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// A blockedWriter blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	entered chan struct{}
	once    sync.Once
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.entered) })
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.Write(p)
}

// TestNeverBlocks checks that Write returns while the output is blocked, and that lines
// beyond the limit are dropped and counted.
func TestNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{}), entered: make(chan struct{})}
	w := New(out, 1000)
	_, _ = w.Write([]byte("first\n"))
	<-out.entered
	line := []byte(strings.Repeat("x", 99) + "\n")
	for range 1000 {
		n, err := w.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Equal(t, w.Dropped(), int64(990))
	close(out.release)
	assert.NilError(t, w.Close())
	text := out.buffer.String()
	assert.Assert(t, strings.HasPrefix(text, "first\n"))
	assert.Equal(t, strings.Count(text, string(line)), 10)
	assert.Assert(t, strings.Contains(text, `msg="log lines dropped" lines=990`), text)
}

// TestClose checks that Close writes the queued lines, and that later lines are not written.
func TestClose(t *testing.T) {
	var out bytes.Buffer
	w := New(&out, 1000)
	_, _ = w.Write([]byte("a\n"))
	_, _ = w.Write([]byte("b\n"))
	assert.NilError(t, w.Close())
	assert.NilError(t, w.Close())
	_, _ = w.Write([]byte("c\n"))
	assert.Equal(t, out.String(), "a\nb\n")
}
