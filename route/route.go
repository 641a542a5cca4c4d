// Package route orders targets for a key by rendezvous hashing: routers with the same
// targets compute the same order without coordination, and a target that joins or leaves
// moves only the keys that it gains or loses.
//
// The fleet with agents ranks engines for a chat (Set.Rank). The gateway and package peers
// use only the hashes and the score. The package has no state and does no I/O.
package route

import (
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ryeford/ryeford"
)

// MaxCandidates is the maximum number of candidates in a Ranking, so that it needs no
// allocation. It is also the maximum of the router's setting candidates.
const MaxCandidates = 8

// A Target is an engine that may be a candidate.
type Target struct {
	Engine ryeford.EngineID
	VM     ryeford.VMID
	Domain string // failure domain
}

// A Set is an immutable set of targets that serve the same pool.
type Set struct {
	targets []Target
	// hashes (of the engines' IDs) and domains (numbered) are kept apart from the
	// targets, so that an iteration over all of them fits into the processor's cache.
	hashes  []uint64
	domains []int32
}

// NewSet returns a Set of targets.
func NewSet(targets []Target) *Set {
	numbers := make(map[string]int32)
	set := &Set{targets: slices.Clone(targets)}
	for i := range targets {
		t := &targets[i]
		if _, ok := numbers[t.Domain]; !ok {
			numbers[t.Domain] = int32(len(numbers))
		}
		set.domains = append(set.domains, numbers[t.Domain])
		set.hashes = append(set.hashes, NameHash(string(t.Engine)))
	}
	return set
}

// Len returns the number of targets.
func (s *Set) Len() int { return len(s.targets) }

// Target returns the i-th target.
func (s *Set) Target(i int) *Target { return &s.targets[i] }

// A Ranking holds a chat's first candidates, best first.
type Ranking struct {
	Index [MaxCandidates]int32 // indices of the Set's targets; only the first Len are valid
	Len   int

	score [MaxCandidates]uint64
}

// Rank writes a chat's first k candidates, at most MaxCandidates, to r: those with the
// highest scores, best first. The second place goes to the best target in another failure
// domain than the first, if there is one, so that after the loss of a domain a candidate
// remains that the chat may have used.
func (s *Set) Rank(chat uint64, k int, r *Ranking) {
	k = min(k, MaxCandidates)
	r.Len = 0
	if k == 0 {
		return
	}
	lowest := uint64(0) // lowest score in the ranking once it is full
	for i, hash := range s.hashes {
		score := Mix(chat, hash)
		if score < lowest {
			continue
		}
		r.insert(int32(i), score, k)
		if r.Len == k {
			lowest = r.score[k-1]
		}
	}
	if r.Len >= 2 {
		s.spreadDomains(chat, r)
	}
}

// spreadDomains moves the best target in another failure domain than the first to the second place. If
// that target is not in the ranking yet, it replaces the last one.
func (s *Set) spreadDomains(chat uint64, r *Ranking) {
	first := s.domains[r.Index[0]]
	for j := 1; j < r.Len; j++ {
		if s.domains[r.Index[j]] != first {
			r.promote(j)
			return
		}
	}
	best, bestScore := int32(-1), uint64(0)
	for i, hash := range s.hashes {
		if s.domains[i] == first {
			continue
		}
		if score := Mix(chat, hash); best < 0 || score > bestScore {
			best, bestScore = int32(i), score
		}
	}
	if best >= 0 {
		r.Index[r.Len-1] = best
		r.promote(r.Len - 1)
	}
}

// insert inserts a target by its score into the ranking, which holds at most k targets.
func (r *Ranking) insert(index int32, score uint64, k int) {
	j := r.Len
	if j == k {
		j--
	} else {
		r.Len++
	}
	for ; j > 0 && r.score[j-1] < score; j-- {
		r.score[j] = r.score[j-1]
		r.Index[j] = r.Index[j-1]
	}
	r.score[j] = score
	r.Index[j] = index
}

// promote moves the j-th candidate to the second place.
func (r *Ranking) promote(j int) {
	index := r.Index[j]
	copy(r.Index[2:j+1], r.Index[1:j])
	r.Index[1] = index
}

// ChatHash returns the uniform hash of a client account's chat.
func ChatHash(account ryeford.AccountID, chat ryeford.ChatID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(account))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(string(chat))
	return d.Sum64()
}

// Score returns the rendezvous score of a name and an engine.
func Score(name string, engine ryeford.EngineID) uint64 {
	return Mix(NameHash(name), NameHash(string(engine)))
}

// KeyHash returns the uniform hash of a numeric key.
func KeyHash(key uint64) uint64 {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], key)
	return xxhash.Sum64(bytes[:])
}

// NameHash returns the uniform hash of a name.
func NameHash(name string) uint64 { return xxhash.Sum64String(name) }

// Mix returns the rendezvous score of a key and a target, given their uniform hashes. The score
// is the XOR of both halves of their product. The target with the highest score is the
// key's first.
func Mix(key, target uint64) uint64 {
	hi, lo := bits.Mul64(key, target)
	return hi ^ lo
}
