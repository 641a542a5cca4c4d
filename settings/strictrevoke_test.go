package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestEmptyStrictRevoke checks that strict revocation is the default, also if the key has
// no value.
func TestEmptyStrictRevoke(t *testing.T) {
	for text, want := range map[string]bool{"": true, "true": true, "false": false} {
		s := DefaultGateway()
		assert.NilError(t, Parse([]byte("vm: a\nregion: r\nfailure_domain: d\ncallers: 10.0.0.1:1\nreadiness: 10.0.0.1:2\nstore: 10.0.0.1:3\nbounds:\n  strict_revoke: "+text+"\n"), s))
		assert.Equal(t, s.Bounds.StrictRevoke, want, text)
	}
}
