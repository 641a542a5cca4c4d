package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSuperseded checks when a superseded configuration is not used any more.
func TestSuperseded(t *testing.T) {
	const bound, contact = 2 * time.Second, 3 * time.Second
	for _, test := range []struct {
		name                 string
		known, age, answered time.Duration
		want                 bool
	}{
		{"just known", 0, time.Minute, 0, false},
		{"known for almost half of the bound", time.Second - 1, time.Minute, 0, false},
		{"known for half of the bound", time.Second, time.Minute, 0, true},
		{"the newest within the bound", time.Minute, bound - 1, 0, false},
		{"the newest when the bound began", time.Minute, bound, 0, true},
		{"the source answered lately", time.Minute, time.Minute, contact - 1, true},
		{"the source is out of reach", time.Minute, time.Minute, contact, false},
	} {
		s := Superseded{Known: test.known, Age: test.age, Answered: test.answered}
		assert.Equal(t, s.Unusable(bound, contact), test.want, test.name)
	}
}
