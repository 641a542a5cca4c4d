package roster

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestFailureDomains guards against a failure domain that is no longer asked about once its endpoints have left the
// list: it may be evacuated by the time that they return.
func TestFailureDomains(t *testing.T) {
	in := func(id, domain string) ryeford.Endpoint {
		return ryeford.Endpoint{ID: ryeford.EndpointID(id), Service: "s", FailureDomain: domain}
	}
	r := New()
	assert.Equal(t, len(r.FailureDomains()), 0)
	r.Apply(start, &ryeford.EndpointUpdate{Snapshot: true, Revision: 1, Present: []ryeford.Endpoint{in("a", "zg-b"), in("b", "zg-a"), in("c", "zg-a")}}, noSuspects)
	r.Apply(start, &ryeford.EndpointUpdate{Snapshot: true, Revision: 2, Present: []ryeford.Endpoint{in("c", "zg-a")}}, noSuspects)
	r.Expire(start.Add(2 * departedTTL))
	assert.Equal(t, r.Len(), 1)
	assert.DeepEqual(t, r.FailureDomains(), []string{"zg-a", "zg-b"})
}
