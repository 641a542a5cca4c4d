package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/gateway/giveup"
)

// TestAwaitLearned checks that requests of a router that has just started wait until its
// initial sync is complete, until its patience or half of their callers' ends, or until
// their callers are gone.
func TestAwaitLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const patience = time.Second
		began := time.Now()
		s := newInitialSync(patience)
		go func() {
			time.Sleep(patience / 4)
			s.complete()
			s.complete()
		}()
		s.await(t.Context(), giveup.NoLimit)
		assert.Equal(t, time.Since(began), patience/4)
		s.await(t.Context(), giveup.NoLimit)
		assert.Equal(t, time.Since(began), patience/4, "already complete")

		never := newInitialSync(patience)
		began = time.Now()
		never.await(t.Context(), giveup.NoLimit)
		assert.Equal(t, time.Since(began), patience)
		never.await(t.Context(), giveup.NoLimit)
		assert.Equal(t, time.Since(began), patience, "the patience is over")

		began = time.Now()
		newInitialSync(patience).await(t.Context(), patience)
		assert.Equal(t, time.Since(began), patience/2, "the rest of the caller's time is for a return")

		gone, cancel := context.WithCancel(t.Context())
		cancel()
		began = time.Now()
		newInitialSync(patience).await(gone, giveup.NoLimit)
		assert.Equal(t, time.Since(began), time.Duration(0), "the caller is gone")
	})
}
