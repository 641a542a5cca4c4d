package eventqueue

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestQueue checks the order of functions, and that none runs from the end on.
func TestQueue(t *testing.T) {
	var q Queue
	var ran []string
	record := func(name string) func() { return func() { ran = append(ran, name) } }
	q.After(2*time.Second, record("third"))
	q.After(time.Second, func() {
		assert.Equal(t, q.Now(), time.Second)
		q.After(0, record("second"))
		q.After(time.Minute, record("never"))
	})
	q.After(time.Second, record("first"))
	q.Run(3 * time.Second)
	assert.Assert(t, slices.Equal(ran, []string{"first", "second", "third"}), "%v", ran)
	assert.Equal(t, q.Now(), 2*time.Second)
}
