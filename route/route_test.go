package route

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// testTargets returns n targets in seven failure domains, in runs of four.
func testTargets(n int) []Target {
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = Target{Engine: ryeford.EngineID(fmt.Sprintf("e%d", i)), Domain: fmt.Sprintf("d%d", i/4%7)}
	}
	return targets
}

// TestRankMovesFewChats guards against the loss of one engine moving other chats than those whose first
// candidate it was.
func TestRankMovesFewChats(t *testing.T) {
	targets := testTargets(40)
	all, fewer := NewSet(targets), NewSet(targets[1:])
	lost := targets[0].Engine
	moved := 0
	for i := range 10_000 {
		chat := ChatHash("bank", ryeford.ChatID(fmt.Sprint(i)))
		var before, after Ranking
		all.Rank(chat, 3, &before)
		fewer.Rank(chat, 1, &after)
		first := all.Target(int(before.Index[0])).Engine
		now := fewer.Target(int(after.Index[0])).Engine
		if first != lost {
			assert.Equal(t, now, first)
			continue
		}
		moved++
	}
	assert.Assert(t, moved > 150 && moved < 350, "%d of 10000 moved", moved)
}

// TestRankSpreadsDomains guards against a second candidate in the first one's failure domain, and
// against duplicate candidates.
func TestRankSpreadsDomains(t *testing.T) {
	set := NewSet(testTargets(40))
	for i := range 1000 {
		var r Ranking
		set.Rank(ChatHash("bank", ryeford.ChatID(fmt.Sprint(i))), 6, &r)
		assert.Equal(t, r.Len, 6)
		assert.Assert(t, set.Target(int(r.Index[0])).Domain != set.Target(int(r.Index[1])).Domain)
		seen := make(map[int32]bool)
		for _, index := range r.Index[:r.Len] {
			assert.Assert(t, !seen[index])
			seen[index] = true
		}
	}
}

// BenchmarkRank measures the ranking of a chat's candidates among n engines.
func BenchmarkRank(b *testing.B) {
	for _, n := range []int{40, 583, 3500} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			set := NewSet(testTargets(n))
			var r Ranking
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				set.Rank(uint64(i)*0x9e3779b97f4a7c15, 6, &r)
			}
		})
	}
}

// TestRankOrder checks the order of a chat's targets: the best, then the best of another failure
// domain, then the others by score.
func TestRankOrder(t *testing.T) {
	const chat = 12345
	for _, test := range []struct {
		domains string // one letter per target, best score first
		k       int
		want    string // positions in domains
	}{
		{"", 3, ""},
		{"a", 3, "0"},
		{"ab", 3, "01"},
		{"aab", 3, "021"},
		{"aabc", 3, "021"},
		{"aaab", 3, "031"}, // not in the ranking: replaces its last target
		{"aaab", 2, "03"},
		{"aaa", 3, "012"},
		{"aab", 1, "0"},
		{"aab", 0, ""},
		{"abababababab", 12, "01234567"}, // MaxCandidates
	} {
		targets := make([]Target, len(test.domains))
		for i := range targets {
			targets[i].Engine = ryeford.EngineID(fmt.Sprintf("e%d", i))
		}
		slices.SortFunc(targets, func(a, b Target) int {
			return cmp.Compare(Mix(chat, NameHash(string(b.Engine))), Mix(chat, NameHash(string(a.Engine))))
		})
		for i := range targets {
			targets[i].Domain = test.domains[i : i+1]
		}
		var r Ranking
		NewSet(targets).Rank(chat, test.k, &r)
		got := ""
		for _, index := range r.Index[:r.Len] {
			got += fmt.Sprint(index)
		}
		assert.Equal(t, got, test.want, test.domains)
	}
}
