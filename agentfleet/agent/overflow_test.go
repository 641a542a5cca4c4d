package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

func TestOverflowHolder(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		rule string
		chat int
		age  time.Duration
		want ryeford.EngineID // empty: no redirect
	}{
		{"a chat is redirected to the engine that served it last", 1, 0, "endpoint-3.1"},
		{"a record is valid for overflowTTL", 1, overflowTTL, "endpoint-3.1"},
		{"an expired record is not used", 1, overflowTTL + 1, ""},
		{"a chat without a record is not redirected", 2, 0, ""},
	} {
		t.Run(test.rule, func(t *testing.T) {
			o := make(overflows)
			o.add(start.Add(-time.Minute), testChat(1), "endpoint-2.1")
			o.add(start, testChat(1), "endpoint-3.1")
			engine, ok := o.holder(start.Add(test.age), testChat(test.chat))
			assert.Equal(t, engine, test.want)
			assert.Equal(t, ok, test.want != "")
		})
	}
}
