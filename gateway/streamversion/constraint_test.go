package streamversion

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestConstraint guards against a stream that continues at another version, or at any if its version is unknown.
func TestConstraint(t *testing.T) {
	const unknown ryeford.SoftwareVersion = ""
	for _, version := range []ryeford.SoftwareVersion{"v1", unknown} {
		assert.Assert(t, Constraint{}.Allows(version))
	}
	assert.Assert(t, BegunBy("v1").Allows("v1"))
	assert.Assert(t, !BegunBy("v1").Allows("v2"))
	assert.Assert(t, !BegunBy("v1").Allows(unknown))
	assert.Assert(t, !BegunBy(unknown).Allows("v1"))
	assert.Assert(t, !BegunBy(unknown).Allows(unknown))
}
