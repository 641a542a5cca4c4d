package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestSetEvacuated checks that endpoints of an evacuated failure domain accept no requests, also those listed
// later, that they stay in the roster, and that they accept requests again after the evacuation.
func TestSetEvacuated(t *testing.T) {
	r := New()
	endpointIn := func(id ryeford.EndpointID, domain string) ryeford.Endpoint {
		return ryeford.Endpoint{ID: id, Service: "s", FailureDomain: domain}
	}
	r.Apply(start, &ryeford.EndpointUpdate{Snapshot: true, Revision: 1, Present: []ryeford.Endpoint{endpointIn("a1", "a"), endpointIn("b1", "b")}}, noSuspects)
	evacuated := ryeford.Evacuations{Revision: 2, Orders: []ryeford.Evacuation{{FailureDomain: "a", State: 2}}}
	began, ended := r.SetEvacuated(start, evacuated)
	assert.DeepEqual(t, began, []string{"a"})
	assert.Equal(t, len(ended), 0)
	r.Apply(start, &ryeford.EndpointUpdate{Revision: 3, Present: []ryeford.Endpoint{endpointIn("a2", "a")}}, noSuspects)
	for id, accepts := range map[ryeford.EndpointID]bool{"a1": false, "a2": false, "b1": true} {
		assert.Equal(t, r.Entry(id).Accepts(), accepts, id)
		assert.Assert(t, r.Has(id), id)
	}
	assert.Equal(t, len(r.Serving("s")), 3) // evacuated endpoints still count for the mean load

	end := start.Add(time.Minute)
	began, ended = r.SetEvacuated(end, ryeford.Evacuations{Revision: 4})
	assert.Equal(t, len(began), 0)
	assert.DeepEqual(t, ended, []string{"a"})
	assert.Assert(t, r.Entry("a1").Accepts() && r.Entry("a2").Accepts())
	assert.Equal(t, r.Entry("a1").EvacuationEnded, end)
	assert.Assert(t, r.Entry("b1").EvacuationEnded.IsZero())
}
