package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/agentfleet/claim"
)

// TestClaimStep checks what follows the claim of a key.
func TestClaimStep(t *testing.T) {
	record := claim.Record{Digest: "d"}
	for _, test := range []struct {
		name   string
		held   claim.Claim
		digest string
		want   claimStep
	}{
		{"claimed for this request", claim.Claim{Record: record, Acquired: true}, "d", claimDispatch},
		{"claimed by an earlier copy of the request", claim.Claim{Record: record}, "d", claimJoinFirst},
		{"claimed by a request with different content", claim.Claim{Record: record}, "other", claimKeyReused},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, claimStepFor(&test.held, test.digest), test.want)
		})
	}
}
