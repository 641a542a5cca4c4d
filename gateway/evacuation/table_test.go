package evacuation

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// at returns evacuations of some failure domains, ordered at revisions, as read at another one.
func at(revision ryeford.Revision, orders ...ryeford.Evacuation) ryeford.Evacuations {
	return ryeford.Evacuations{Revision: revision, Orders: orders}
}

// TestLearn checks that what was read at the newest revision counts, in whatever order word of it
// comes, and that an order which was withdrawn and given again is another one.
func TestLearn(t *testing.T) {
	a4, a9, b7 := ryeford.Evacuation{FailureDomain: "a", State: 4}, ryeford.Evacuation{FailureDomain: "a", State: 9}, ryeford.Evacuation{FailureDomain: "b", State: 7}
	var table Table
	for _, test := range []struct {
		name    string
		read    ryeford.Evacuations
		changed bool
		known   ryeford.Evacuations
	}{
		{"none", at(3), false, at(3)},
		{"an order", at(5, a4), true, at(5, a4)},
		{"the same later", at(6, a4), false, at(6, a4)},
		{"late word of none", at(3), false, at(6, a4)},
		{"another domain", at(8, a4, b7), true, at(8, a4, b7)},
		{"withdrawn and given again", at(10, a9, b7), true, at(10, a9, b7)},
		{"late word of the first order", at(9, a4, b7), false, at(10, a9, b7)},
		{"nothing read", at(0), false, at(10, a9, b7)},
		{"withdrawn", at(11, b7), true, at(11, b7)},
	} {
		assert.Equal(t, table.Learn(test.read), test.changed, test.name)
		assert.DeepEqual(t, table.Known(), test.known)
	}
}
