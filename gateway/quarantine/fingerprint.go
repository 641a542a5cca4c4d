package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/ryeford/ryeford"
)

// A Fingerprint identifies a possible cause of crashes: all requests with the same client account, target and body,
// or all requests with the same prompt part. That of a request does not cover the request's ID, its headers or the
// caller's key. It contains a cryptographic hash, so that no caller can craft a request with the fingerprint of
// another account's request.
type Fingerprint [16]byte

// A Filter is the part of a fingerprint that needs no hash of the body. It rules out most requests
// without computing their fingerprints.
type Filter uint32

// FilterOf returns the filter of a request's fingerprint. length is the length of the body in bytes.
func FilterOf(account ryeford.AccountID, target string, length int) Filter {
	var hash xxhash.Digest
	hash.Reset()
	var number [8]byte
	for _, text := range []string{string(account), target} {
		// A length prefix keeps different pairs of texts from having the same hash. Writes to a hash do not
		// fail.
		_, _ = hash.Write(binary.BigEndian.AppendUint64(number[:0], uint64(len(text))))
		_, _ = hash.WriteString(text)
	}
	_, _ = hash.Write(binary.BigEndian.AppendUint64(number[:0], uint64(length)))
	return Filter(hash.Sum64())
}

// FingerprintOf returns the fingerprint of a request. account is empty if the request has none.
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

// String returns f in hexadecimal digits, or the ID of a prompt part after "part:".
func (f Fingerprint) String() string {
	if id, ok := f.part(); ok {
		return partPrefix + strconv.FormatUint(id, 16)
	}
	return hex.EncodeToString(f[:])
}
