package quarantine

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFingerprintOf checks that requests have the same fingerprint only if account, target and body are the same,
// also where their concatenation is the same.
func TestFingerprintOf(t *testing.T) {
	same := FingerprintOf("bank", "/stream/a", []byte("body"))
	assert.Equal(t, FingerprintOf("bank", "/stream/a", []byte("body")), same)
	for name, other := range map[string]Fingerprint{
		"account":            FingerprintOf("church", "/stream/a", []byte("body")),
		"no account":         FingerprintOf("", "/stream/a", []byte("body")),
		"target":             FingerprintOf("bank", "/stream/b", []byte("body")),
		"query":              FingerprintOf("bank", "/stream/a?b", []byte("body")),
		"a byte of the body": FingerprintOf("bank", "/stream/a", []byte("bodY")),
		"no body":            FingerprintOf("bank", "/stream/a", nil),
		"a shorter target":   FingerprintOf("bank", "/stream/", []byte("abody")),
		"a shorter account":  FingerprintOf("ban", "k/stream/a", []byte("body")),
	} {
		assert.Assert(t, other != same, name)
	}
	assert.Equal(t, len(same.String()), 32)
}

// BenchmarkFingerprintOf measures bodies of 1 KiB and 1 MiB.
func BenchmarkFingerprintOf(b *testing.B) {
	for name, size := range map[string]int{"1KiB": 1 << 10, "1MiB": 1 << 20} {
		body := bytes.Repeat([]byte("x"), size)
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				FingerprintOf("bank", "/stream/a", body)
			}
		})
	}
}
