package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/ryeford/ryeford"
)

// A Fingerprint tells requests apart: those of one client account with the same target and body
// have the same one. The ID of a request, its other headers and its key are no part of it. Callers
// can't find a second request with the fingerprint of another one: it is a cryptographic hash.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. The account is empty if it belongs to none.
// BenchmarkFingerprintOf gives its time.
func FingerprintOf(account ryeford.AccountID, target string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, text := range []string{string(account), target} {
		// The length goes first, so that no part can pass for the end of another one. A hash's
		// writes do not fail.
		_ = binary.Write(hash, binary.BigEndian, uint64(len(text)))
		_, _ = io.WriteString(hash, text)
	}
	_, _ = hash.Write(body)
	var result Fingerprint
	copy(result[:], hash.Sum(nil))
	return result
}

// String returns f in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
