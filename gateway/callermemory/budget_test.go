package callermemory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// TestGrow guards against reservations beyond the budget, and against cutting off a caller that doesn't keep the
// router waiting.
func TestGrow(t *testing.T) {
	b := New(100)
	var cut []string
	allocate := func(name string) *Allocation { return b.NewAllocation(func() { cut = append(cut, name) }) }
	processing, slow, slower := allocate("processing"), allocate("slow"), allocate("slower")
	assert.Assert(t, processing.Grow(start, 40))
	assert.Assert(t, slow.Grow(start, 30) && slower.Grow(start, 30))
	slower.Wait(start)
	slow.Wait(start.Add(minStall / 2))
	next := allocate("next")
	assert.Assert(t, !next.Grow(start.Add(minStall-1), 1), "nobody has waited long enough")
	assert.Equal(t, len(cut), 0)
	assert.Assert(t, next.Grow(start.Add(minStall), 1))
	assert.DeepEqual(t, cut, []string{"slower"})
	assert.Assert(t, slower.Cut() && !slower.Grow(start.Add(minStall), 1) && !slow.Cut())
	assert.Equal(t, b.Reserved(), int64(71))
	assert.Assert(t, !next.Grow(start.Add(2*minStall), 60), "the slow one isn't enough")
	assert.DeepEqual(t, cut, []string{"slower", "slow"})
	assert.Assert(t, !next.Grow(start.Add(time.Hour), 101))
	for _, h := range []*Allocation{processing, slow, slower, next} {
		h.Release()
		h.Release()
	}
	assert.Equal(t, b.Reserved(), int64(0))
}

// TestResume checks that a caller that has sent its body isn't cut off while its request is processed.
func TestResume(t *testing.T) {
	b := New(10)
	h := b.NewAllocation(func() { t.Error("cut off") })
	h.Wait(start)
	assert.Assert(t, h.Grow(start, 10))
	h.Resume()
	assert.Assert(t, !b.NewAllocation(nil).Grow(start.Add(time.Hour), 1))
}

// TestManySlowCallers replays thousands of callers that read slowly, at a budget that holds few of their responses,
// among others that read at once. It guards against a budget that is exceeded, and against the slow ones keeping the
// others out.
func TestManySlowCallers(t *testing.T) {
	const (
		size    = 1000
		callers = 2000
	)
	b := New(40 * size)
	cut, refused := 0, 0
	for i := range callers {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		slow := b.NewAllocation(func() { cut++ })
		if !slow.Grow(now, size) {
			refused++
			continue
		}
		slow.Wait(now)
		prompt := b.NewAllocation(func() { t.Error("a caller that reads at once was cut off") })
		if !prompt.Grow(now, size) {
			refused++
		}
		prompt.Wait(now)
		prompt.Release()
		assert.Assert(t, b.Reserved() <= 40*size)
	}
	assert.Equal(t, refused, 0)
	assert.Equal(t, cut, callers-39)
}
