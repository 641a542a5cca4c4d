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
		{"a chat goes to the engine that served it last", 1, 0, "endpoint-3.1"},
		{"for as long as the record is kept", 1, overflowTTL, "endpoint-3.1"},
		{"not after that", 1, overflowTTL + 1, ""},
		{"a chat without a record stays", 2, 0, ""},
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
