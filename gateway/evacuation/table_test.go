package evacuation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

var start = time.Unix(1000, 0)

// readAt returns orders as read at a revision.
func readAt(revision ryeford.Revision, orders ...ryeford.Evacuation) ryeford.Evacuations {
	return ryeford.Evacuations{Revision: revision, Orders: orders}
}

// TestMerge checks that the evacuations with the newest revision apply, in whatever order updates arrive, and that
// an order that was withdrawn and issued again counts as a change.
func TestMerge(t *testing.T) {
	a4, a9, b7 := ryeford.Evacuation{FailureDomain: "a", State: 4}, ryeford.Evacuation{FailureDomain: "a", State: 9}, ryeford.Evacuation{FailureDomain: "b", State: 7}
	var table Table
	for _, test := range []struct {
		name    string
		read    ryeford.Evacuations
		changed bool
		known   ryeford.Evacuations
	}{
		{"none", readAt(3), false, readAt(3)},
		{"an order", readAt(5, a4), true, readAt(5, a4)},
		{"the same order at a later revision", readAt(6, a4), false, readAt(6, a4)},
		{"delayed update without orders", readAt(3), false, readAt(6, a4)},
		{"another domain", readAt(8, a4, b7), true, readAt(8, a4, b7)},
		{"withdrawn and issued again", readAt(10, a9, b7), true, readAt(10, a9, b7)},
		{"delayed update with the first order", readAt(9, a4, b7), false, readAt(10, a9, b7)},
		{"never read", readAt(0), false, readAt(10, a9, b7)},
		{"withdrawn", readAt(11, b7), true, readAt(11, b7)},
	} {
		inForce, changed := table.Merge(start, test.read)
		assert.Equal(t, changed, test.changed, test.name)
		assert.DeepEqual(t, table.LastRead(), test.known)
		assert.Equal(t, len(inForce.Orders), len(test.known.Orders))
	}
}

// TestMergeRestored checks that after a restore of the source an order that the backup lacks stays in force for
// keepDuration or until it was read again, and that peers are sent the evacuations as read.
func TestMergeRestored(t *testing.T) {
	era2 := func(number int64) ryeford.Revision {
		revision, err := ryeford.NewRevision(2, number)
		assert.NilError(t, err)
		return revision
	}
	a, b, c := ryeford.Evacuation{FailureDomain: "a", State: 4}, ryeford.Evacuation{FailureDomain: "b", State: 7}, ryeford.Evacuation{FailureDomain: "c", State: 2}
	again := ryeford.Evacuation{FailureDomain: "a", State: era2(4)}
	var table Table
	for _, test := range []struct {
		name    string
		after   time.Duration
		read    ryeford.Evacuations
		inForce string
	}{
		{"before the restore", 0, readAt(9, a, b), "ab"},
		{"the backup", 0, readAt(era2(3), c), "abc"},
		{"delayed update of the earlier era", time.Second, readAt(10, a), "abc"},
		{"issued again", time.Second, readAt(era2(4), again, c), "abc"},
		{"and withdrawn", 2 * time.Second, readAt(era2(5), c), "bc"},
		{"nothing new", keepDuration - 1, readAt(era2(5), c), "bc"},
		{"not issued again in time", keepDuration, readAt(era2(5), c), "c"},
		{"later", 2 * keepDuration, readAt(era2(6), c), "c"},
	} {
		inForce, _ := table.Merge(start.Add(test.after), test.read)
		domains := ""
		for _, order := range inForce.Orders {
			domains += order.FailureDomain
		}
		assert.Equal(t, domains, test.inForce, test.name)
		if test.read.Revision.Era() == 2 {
			assert.DeepEqual(t, table.LastRead(), test.read)
		}
	}
}
