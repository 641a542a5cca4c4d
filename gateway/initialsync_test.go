package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/gateway/giveup"
)

// TestInitialSyncAwait checks that requests at a router that has just started wait until the initial
// sync is complete, the maximum wait or half of the caller's time has passed, or the caller is gone.
func TestInitialSyncAwait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxWait = time.Second
		began := time.Now()
		s := newInitialSync(maxWait)
		go func() {
			time.Sleep(maxWait / 4)
			s.complete()
			s.complete()
		}()
		s.await(t.Context(), giveup.NoLimit)
		assert.Equal(t, time.Since(began), maxWait/4)
		s.await(t.Context(), giveup.NoLimit)
		assert.Equal(t, time.Since(began), maxWait/4, "already complete")

		never := newInitialSync(maxWait)
		began = time.Now()
		never.await(t.Context(), giveup.NoLimit)
		assert.Equal(t, time.Since(began), maxWait)
		never.await(t.Context(), giveup.NoLimit)
		assert.Equal(t, time.Since(began), maxWait, "the maximum wait has passed")

		began = time.Now()
		newInitialSync(maxWait).await(t.Context(), maxWait)
		assert.Equal(t, time.Since(began), maxWait/2, "half of the caller's time is left for a retry")

		gone, cancel := context.WithCancel(t.Context())
		cancel()
		began = time.Now()
		newInitialSync(maxWait).await(gone, giveup.NoLimit)
		assert.Equal(t, time.Since(began), time.Duration(0), "the caller is gone")
	})
}
