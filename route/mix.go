package route

import (
	"encoding/binary"

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

// Mix returns the rendezvous score of two uniform hashes.
func Mix(key, target uint64) uint64 { return mix(key, target) }
