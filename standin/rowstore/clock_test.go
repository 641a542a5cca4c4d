package rowstore

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestLagging checks that every second read of a connection, after one that showed a change,
// is answered as of when the lag began, and that a store that lags no more answers by its
// newest rows.
func TestLagging(t *testing.T) {
	store := New()
	store.Put("t", "a", []byte("old"))
	store.SetLagging(true)
	for _, want := range []string{"old", "old"} {
		rows, _ := store.read("c", "t", "")
		assert.Equal(t, string(rows[0].Value), want, "nothing has changed")
	}
	store.Put("t", "a", []byte("new"))
	for _, want := range []string{"new", "old", "new", "old", "new"} {
		rows, _ := store.read("c", "t", "")
		assert.Equal(t, string(rows[0].Value), want)
	}
	rows, _ := store.read("another", "t", "")
	assert.Equal(t, string(rows[0].Value), "new", "its first read")
	store.SetLagging(false)
	rows, _ = store.read("c", "t", "")
	assert.Equal(t, string(rows[0].Value), "new")
}

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
