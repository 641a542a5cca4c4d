package engine

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/standin/rawresponse"
)

// TestMalformedHead guards against a response of an engine or a service that counts though its head is none, and against one
// that counts as not run.
func TestMalformedHead(t *testing.T) {
	for name, text := range rawresponse.MalformedHeads(`{}`) {
		t.Run(name, func(t *testing.T) {
			server, err := rawresponse.Start(text)
			assert.NilError(t, err)
			t.Cleanup(server.Close)
			for _, repeatable := range []bool{false, true} {
				reader, err := NewService(server.Address()).Call(t.Context(), &ryeford.Call{Attempt: "a1", Method: "POST", Path: "/notes", Repeatable: repeatable})
				assert.Assert(t, err != nil && !NotRun(err), "%v, %v", reader, err)
			}
			engine := New(server.Address())
			_, err = engine.Complete(t.Context(), "chat", &ryeford.Completion{Attempt: "a1"})
			assert.Assert(t, err != nil && !NotRun(err), "%v", err)
			_, err = engine.Serving(t.Context())
			assert.Assert(t, err != nil)
		})
	}
}
