package rowstore

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestClock checks what the store's clock shows while it is stepped and runs at other
// rates: a change counts from then on only.
func TestClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := New()
		time.Sleep(time.Second)
		assert.Equal(t, store.clockShows(), time.Second)
		store.SetClockRate(0.5)
		time.Sleep(time.Second)
		assert.Equal(t, store.clockShows(), 1500*time.Millisecond)
		store.StepClock(-time.Second)
		assert.Equal(t, store.clockShows(), 500*time.Millisecond)
		time.Sleep(time.Second)
		assert.Equal(t, store.clockShows(), time.Second)
		store.SetClockRate(1)
		time.Sleep(time.Second)
		assert.Equal(t, store.clockShows(), 2*time.Second)
	})
}
