package callermemory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// TestReserve guards against reservations beyond the budget, and against cutting off a caller that doesn't keep the
// router waiting.
func TestReserve(t *testing.T) {
	b := New(100)
	var cut []string
	hold := func(name string) *Holder { return b.Hold(func() { cut = append(cut, name) }) }
	processing, slow, slower := hold("processing"), hold("slow"), hold("slower")
	assert.Assert(t, processing.Reserve(start, 40))
	assert.Assert(t, slow.Reserve(start, 30) && slower.Reserve(start, 30))
	slower.Wait(start)
	slow.Wait(start.Add(minStall / 2))
	next := hold("next")
	assert.Assert(t, !next.Reserve(start.Add(minStall-1), 1), "nobody has waited long enough")
	assert.Equal(t, len(cut), 0)
	assert.Assert(t, next.Reserve(start.Add(minStall), 1))
	assert.DeepEqual(t, cut, []string{"slower"})
	assert.Assert(t, slower.Cut() && !slower.Reserve(start.Add(minStall), 1) && !slow.Cut())
	assert.Equal(t, b.Reserved(), int64(71))
	assert.Assert(t, !next.Reserve(start.Add(2*minStall), 60), "the slow one isn't enough")
	assert.DeepEqual(t, cut, []string{"slower", "slow"})
	assert.Assert(t, !next.Reserve(start.Add(time.Hour), 101))
	for _, h := range []*Holder{processing, slow, slower, next} {
		h.Release()
		h.Release()
	}
	assert.Equal(t, b.Reserved(), int64(0))
}

// TestResume checks that a caller that has sent its body isn't cut off while its request is processed.
func TestResume(t *testing.T) {
	b := New(10)
	h := b.Hold(func() { t.Error("cut off") })
	h.Wait(start)
	assert.Assert(t, h.Reserve(start, 10))
	h.Resume()
	assert.Assert(t, !b.Hold(nil).Reserve(start.Add(time.Hour), 1))
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
		slow := b.Hold(func() { cut++ })
		if !slow.Reserve(now, size) {
			refused++
			continue
		}
		slow.Wait(now)
		prompt := b.Hold(func() { t.Error("a caller that reads at once was cut off") })
		if !prompt.Reserve(now, size) {
			refused++
		}
		prompt.Wait(now)
		prompt.Release()
		assert.Assert(t, b.Reserved() <= 40*size)
	}
	assert.Equal(t, refused, 0)
	assert.Equal(t, cut, callers-39)
}
