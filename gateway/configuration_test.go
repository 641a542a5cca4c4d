package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRefreshAge checks that of routers that hear each other one reads first, and
// that none that hears nobody waits for another.
func TestRefreshAge(t *testing.T) {
	const refresh = time.Second
	assert.Equal(t, refreshAge(refresh, 0, 0), refresh)
	assert.Equal(t, refreshAge(refresh, 0, 5), refresh/2)
	assert.Assert(t, refreshAge(refresh, 1, 5) > refreshAge(refresh, 0, 5))
	for rank := 2; rank < 6; rank++ {
		assert.Equal(t, refreshAge(refresh, rank, 5), refresh)
	}
}
