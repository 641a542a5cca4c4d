package route

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// KeyHash returns the uniform hash of a number that names something.
func KeyHash(key uint64) uint64 {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], key)
	return xxhash.Sum64(bytes[:])
}

// NameHash returns the uniform hash of a name.
func NameHash(name string) uint64 { return xxhash.Sum64String(name) }

// Mix returns the rendezvous score of a key and a target, given as uniform hashes:
// the two halves of their product, folded. The target with the highest score is the
// key's first.
func Mix(key, target uint64) uint64 {
	hi, lo := bits.Mul64(key, target)
	return hi ^ lo
}
