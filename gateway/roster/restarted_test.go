package roster

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestRestarted checks that a new incarnation of an endpoint replaces the earlier one, even if its VM's clock
// has stepped back, and that removing a name removes the current incarnation.
func TestRestarted(t *testing.T) {
	r := New()
	incarnation := func(started int64) ryeford.Endpoint { return ready(string(ryeford.NewEndpointID("a", started))) }
	first, second, clockStepped := incarnation(1000), incarnation(2000), incarnation(500)
	r.Apply(start, &ryeford.EndpointUpdate{Snapshot: true, Revision: 1, Present: []ryeford.Endpoint{first, ready("b")}}, noSuspects)
	for i, next := range []ryeford.Endpoint{second, clockStepped} {
		before := []ryeford.Endpoint{first, second}[i].ID
		change := r.Apply(start, &ryeford.EndpointUpdate{Revision: ryeford.Revision(2 + i), Present: []ryeford.Endpoint{next}}, noSuspects)
		assert.DeepEqual(t, change.Dropped, []ryeford.EndpointID{before})
		assert.DeepEqual(t, change.Added, []ryeford.EndpointID{next.ID})
		assert.DeepEqual(t, change.Restarted, []ryeford.EndpointID{next.ID})
		assert.Assert(t, !r.Has(before) && r.Entry(next.ID).Accepts() && r.Entry("b").Accepts())
		assert.Equal(t, r.Entry(next.ID).FirstSeen, start)
	}
	change := r.Apply(start, &ryeford.EndpointUpdate{Revision: 4, Removed: []ryeford.EndpointID{"a"}}, noSuspects)
	assert.DeepEqual(t, change.Departed, []ryeford.EndpointID{clockStepped.ID})
	r.Expire(start.Add(2 * departedTTL))
	assert.Equal(t, r.Len(), 1)
}
