package ryeford

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSoftwareVersion guards against two versions that are taken for the same although their endpoints reported
// different texts, or texts that can't be compared.
func TestSoftwareVersion(t *testing.T) {
	long := strings.Repeat("v", maxSoftwareVersion+1)
	for _, test := range []struct {
		a, b string
		same bool
	}{
		{"v1", "v1", true},
		{"v1", "v1.2", false},
		{"", "", true},
		{"", "v1", false},
		{"", `""`, false},
		{`""`, `""`, false},
		{long, long, false},
		{long[1:], long[1:], true},
		{"v\xff", "v\xfe", false},
		{"v\uFFFD", "v\uFFFD", false},
	} {
		assert.Equal(t, NewSoftwareVersion(test.a).Same(NewSoftwareVersion(test.b)), test.same, "%q %q", test.a, test.b)
	}
}
