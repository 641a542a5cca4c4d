package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/memtable"
)

// TestClaimIsExclusive checks that at most one of several routers acquires a key when
// writes fail or their responses are lost.
func TestClaimIsExclusive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outcomes := rapid.SliceOfN(rapid.SampledFrom([]memtable.Outcome{
			memtable.Success, memtable.Success, memtable.Failure, memtable.ResponseLost,
		}), 1, 12).Draw(t, "outcomes")
		calls := 0
		table := memtable.New(func(_ bool) memtable.Outcome {
			calls++
			return outcomes[calls%len(outcomes)]
		})
		routers := rapid.IntRange(2, 4).Draw(t, "routers")
		acquired := claimConcurrently(table, routers)
		assert.Assert(t, acquired <= 1, "%d routers acquired the key", acquired)
	})
}

// claimConcurrently returns how many routers acquired the key.
func claimConcurrently(table ryeford.Table, routers int) int {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var wait sync.WaitGroup
	var mu sync.Mutex
	acquired := 0
	for i := range routers {
		claims := New(table)
		go func() { _ = claims.Run(ctx) }()
		wait.Go(func() {
			record := Record{Attempt: Attempt{ID: ryeford.AttemptID(fmt.Sprint(i))}}
			held, err := claims.Claim(ctx, Key{Account: "bank", Key: "k"}, record)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && held.Acquired {
				acquired++
			}
		})
	}
	wait.Wait()
	return acquired
}

// TestBatch checks that concurrent claims share one transaction, and that a key that is
// already claimed does not fail the others.
func TestBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		writes := 0
		table := memtable.New(func(write bool) memtable.Outcome {
			if write {
				writes++
			}
			return memtable.Success
		})
		claims := New(table)
		go func() { _ = claims.Run(ctx) }()
		_, err := claims.Claim(ctx, Key{Account: "bank", Key: "7"}, Record{Attempt: Attempt{ID: "first"}})
		assert.NilError(t, err)
		writes = 0
		var wait sync.WaitGroup
		for i := range 20 {
			wait.Go(func() {
				held, err := claims.Claim(ctx, Key{Account: "bank", Key: fmt.Sprint(i)}, Record{Attempt: Attempt{ID: "second"}})
				assert.Check(t, err)
				assert.Check(t, held.Acquired == (i != 7))
			})
		}
		wait.Wait()
		assert.Equal(t, writes, 2) // one with the claimed key, one without it
		cancel()
		synctest.Wait()
	})
}

// TestOwnerKnown checks when a row that was read back shows who owns a key.
func TestOwnerKnown(t *testing.T) {
	for _, test := range []struct {
		name     string
		current  int64
		replaced int64
		want     bool
	}{
		{"no row: the write did not take effect", 0, 0, false},
		{"a row where there was none", 7, 0, true},
		{"the row to be replaced is unchanged", 7, 7, false},
		{"another row replaced it", 8, 7, true},
		{"the row was removed", 0, 7, false},
	} {
		assert.Equal(t, ownerKnown(test.current, test.replaced), test.want, test.name)
	}
}

// TestDigest checks that the boundaries between parts change the digest.
func TestDigest(t *testing.T) {
	assert.Equal(t, Digest([]byte("a"), []byte("b")), Digest([]byte("a"), []byte("b")))
	assert.Assert(t, Digest([]byte("ab"), nil) != Digest([]byte("a"), []byte("b")))
}
