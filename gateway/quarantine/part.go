package quarantine

import (
	"encoding/binary"
	"slices"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

const (
	// MaxParts is the maximum number of shared parts of a prompt that are considered. It bounds the records that one
	// request can create.
	MaxParts = 64
	// partMark distinguishes fingerprints of prompt parts from those of requests, whose bytes there are a hash.
	partMark = 0x70617274
	// partPrefix precedes the ID of a part in logs.
	partPrefix = "part:"
)

// PartFingerprint returns the fingerprint of all requests with a prompt part.
func PartFingerprint(id uint64) Fingerprint {
	var result Fingerprint
	binary.BigEndian.PutUint32(result[:], uint32(route.KeyHash(id)))
	binary.BigEndian.PutUint32(result[4:], partMark)
	binary.BigEndian.PutUint64(result[8:], id)
	return result
}

// part returns the ID of the prompt part that f identifies, and false if f identifies requests. A request's
// fingerprint that looks like a part's by chance can't match any part: its filter differs.
func (f Fingerprint) part() (id uint64, ok bool) {
	id = binary.BigEndian.Uint64(f[8:])
	return id, f == PartFingerprint(id)
}

// IsPart reports whether f identifies requests with a prompt part.
func (f Fingerprint) IsPart() bool {
	_, ok := f.part()
	return ok
}

// PartFingerprints returns the fingerprints of the parts of a prompt that other requests may share, without
// repetitions: all but the last, which is the request's own.
func PartFingerprints(prompt []ryeford.PromptPart) []Fingerprint {
	if len(prompt) < 2 {
		return nil
	}
	shared := prompt[:min(len(prompt)-1, MaxParts)]
	result := make([]Fingerprint, 0, len(shared))
	for _, part := range shared {
		if fingerprint := PartFingerprint(part.ID); !slices.Contains(result, fingerprint) {
			result = append(result, fingerprint)
		}
	}
	return result
}
