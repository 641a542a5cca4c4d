package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"github.com/ryeford/ryeford"
)

// A Fingerprint tells requests apart: those of one client account with the same target and body
// have the same one. The ID of a request, its other headers and its key are no part of it. Nobody can
// make a request that has the fingerprint of another account's: most of it is a cryptographic hash.
type Fingerprint [16]byte

// A Filter is the part of a fingerprint that is quick to work out, so that most requests need no more
// of it: it doesn't depend on what the body holds.
type Filter uint32

// FilterOf returns the filter of a request's fingerprint, given the length of its body in bytes.
func FilterOf(account ryeford.AccountID, target string, length int) Filter {
	var hash xxhash.Digest
	hash.Reset()
	var number [8]byte
	for _, text := range []string{string(account), target} {
		// The length goes first, so that no part can pass for the end of another one. A hash's
		// writes do not fail.
		_, _ = hash.Write(binary.BigEndian.AppendUint64(number[:0], uint64(len(text))))
		_, _ = hash.WriteString(text)
	}
	_, _ = hash.Write(binary.BigEndian.AppendUint64(number[:0], uint64(length)))
	return Filter(hash.Sum64())
}

// FingerprintOf returns the fingerprint of a request. The account is empty if it belongs to none.
// BenchmarkFingerprintOf gives its time.
func FingerprintOf(account ryeford.AccountID, target string, body []byte) Fingerprint {
	hash := sha256.New()
	head := make([]byte, 0, 16+len(account)+len(target))
	for _, text := range []string{string(account), target} {
		head = binary.BigEndian.AppendUint64(head, uint64(len(text)))
		head = append(head, text...)
	}
	_, _ = hash.Write(head)
	_, _ = hash.Write(body)
	var result Fingerprint
	binary.BigEndian.PutUint32(result[:], uint32(FilterOf(account, target, len(body))))
	copy(result[4:], hash.Sum(nil))
	return result
}

// Filter returns the filter of f.
func (f Fingerprint) Filter() Filter { return Filter(binary.BigEndian.Uint32(f[:])) }

// String returns f in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
