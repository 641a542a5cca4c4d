package template

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/memtable"
)

// TestCacheRevisionNeverDecreases applies deltas out of order, repeatedly and with gaps: no
// delta may replace a newer template or leave one out.
func TestCacheRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var published []ryeford.Template
		for i := range rapid.IntRange(1, 12).Draw(t, "publishes") {
			name := fmt.Sprintf("t%d", rapid.IntRange(0, 2).Draw(t, "name"))
			published = append(published, ryeford.Template{Account: "a", Name: name, Model: "m", Revision: int64(i + 1)})
		}
		cache := NewCache()
		for range rapid.IntRange(1, 20).Draw(t, "deltas") {
			from := rapid.IntRange(0, len(published)).Draw(t, "from")
			to := rapid.IntRange(from, len(published)).Draw(t, "to")
			before := cache.Revision()
			cache.Apply(int64(from), int64(to), published[from:to])
			assert.Assert(t, cache.Revision() >= before, "revision decreased")
			checkCache(t, cache, published)
		}
	})
}

// checkCache checks that a cache has the newest template of each name up to its revision.
func checkCache(t *rapid.T, cache *Cache, published []ryeford.Template) {
	revision, _ := cache.ChangedSince(0)
	newest := make(map[string]int64)
	for _, p := range published[:revision] {
		newest[p.Name] = p.Revision
	}
	for name, want := range newest {
		found, ok := cache.Find("a", name)
		assert.Assert(t, ok && found.Revision == want, "%s: want revision %d", name, want)
	}
}

// TestPublishRace publishes one template concurrently to a table that loses responses:
// exactly one publish may succeed, and it must be in the history once.
func TestPublishRace(t *testing.T) {
	calls := 0
	table := memtable.New(func(write bool) memtable.Outcome {
		calls++
		if write && calls%3 == 0 {
			return memtable.ResponseLost
		}
		return memtable.Success
	})
	const publishers = 6
	var wait sync.WaitGroup
	var mu sync.Mutex
	published := 0
	for i := range publishers {
		wait.Go(func() {
			store := NewStore(table)
			_, err := store.Publish(context.Background(), ryeford.Template{
				Account: "bank", Name: "calls", Model: "lira", PublishID: fmt.Sprint(i),
			})
			var sequence *SequenceError
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				published++
			} else {
				assert.Check(t, errors.As(err, &sequence), "%v", err)
			}
		})
	}
	wait.Wait()
	assert.Equal(t, published, 1)
	history, err := NewStore(table).History(t.Context(), Name{Account: "bank", Name: "calls"})
	assert.NilError(t, err)
	assert.Equal(t, len(history), 1)
}

// TestPublishIdempotent checks that a repeated publish of a change takes effect once.
func TestPublishIdempotent(t *testing.T) {
	store := NewStore(memtable.New(nil))
	change := ryeford.Template{Account: "bank", Name: "calls", Model: "lira", PublishID: "c1"}
	first, err := store.Publish(t.Context(), change)
	assert.NilError(t, err)
	second, err := store.Publish(t.Context(), change)
	assert.NilError(t, err)
	assert.DeepEqual(t, first, second)
}

// BenchmarkCache reports the memory per template, and the time to apply one change to a
// cache with the templates of a full-size fleet.
func BenchmarkCache(b *testing.B) {
	const accounts = 3200
	var templates []ryeford.Template
	for i := range accounts {
		templates = append(templates, ryeford.Template{
			Account: ryeford.AccountID(fmt.Sprintf("account-%d", i)), Name: "calls", Model: "lira", Adapter: "harbour",
			Share: 0.1, Revision: int64(i + 1), PublishID: "280cf740-4e2c-404c-851e-5152ba7e4550",
			KeyHashes: []string{ryeford.HashKey(fmt.Sprint(i))},
		})
	}
	before := heapBytes()
	cache := NewCache()
	cache.Apply(0, accounts, templates)
	size := heapBytes() - before
	revision := int64(accounts)
	for b.Loop() {
		change := templates[0]
		change.Revision = revision + 1
		cache.Apply(revision, revision+1, []ryeford.Template{change})
		revision++
	}
	b.ReportMetric(float64(size)/accounts, "B/template")
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestCanApply checks which deltas can be applied to a cache at revision 5.
func TestCanApply(t *testing.T) {
	for _, test := range []struct {
		name     string
		from, to int64
		want     bool
	}{
		{"the next revision", 5, 6, true},
		{"overlapping", 3, 8, true},
		{"from revision zero", 0, 6, true},
		{"older than the cache", 3, 4, false},
		{"up to the cache's revision", 4, 5, false},
		{"with a gap", 6, 8, false},
	} {
		assert.Equal(t, canApply(5, test.from, test.to), test.want, test.name)
	}
}

// TestFind checks which template is found for an account's model.
func TestFind(t *testing.T) {
	cache := NewCache()
	cache.Apply(0, 4, []ryeford.Template{
		{Account: "bank", Name: "calls", Model: "lira", Revision: 1},
		{Account: "bank", Name: "agents", Model: "lira", Revision: 2},
		{Account: "bank", Name: "lira", Model: "psalm", Revision: 3},
		{Account: "church", Name: "debate", Model: "hymn", Revision: 4},
	})
	for _, test := range []struct {
		name    string
		account ryeford.AccountID
		model   string
		want    string // the template's name, or empty
	}{
		{"by name", "bank", "calls", "calls"},
		{"a name takes precedence over a model", "bank", "lira", "lira"},
		{"by model", "bank", "psalm", "lira"},
		{"a model of another account", "bank", "hymn", ""},
		{"an unknown model", "bank", "x", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			found, ok := cache.Find(test.account, test.model)
			assert.Equal(t, ok, test.want != "")
			if ok {
				assert.Equal(t, found.Name, test.want)
			}
		})
	}
}

// TestNextVersion checks that a publish must be based on the current version.
func TestNextVersion(t *testing.T) {
	for _, test := range []struct {
		name          string
		base, current int64
		accepted      bool
	}{
		{"a new template", 0, 0, true},
		{"based on the current version", 3, 3, true},
		{"based on an old version", 2, 3, false},
		{"based on no version of an existing template", 0, 1, false},
		{"based on a version that does not exist", 4, 3, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			next, err := nextVersion(ryeford.Template{Sequence: test.base}, test.current)
			var sequence *SequenceError
			assert.Equal(t, errors.As(err, &sequence), !test.accepted)
			if test.accepted {
				assert.Equal(t, next.Sequence, test.current+1)
			}
		})
	}
}
