package tableservice

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/standin/rawresponse"
)

// TestMalformedHead guards against a response of the table that counts though its head is none, and against a write that
// counts as not applied by it.
func TestMalformedHead(t *testing.T) {
	for name, text := range rawresponse.MalformedHeads(`{"version":7}`) {
		t.Run(name, func(t *testing.T) {
			server, err := rawresponse.Start(text)
			assert.NilError(t, err)
			t.Cleanup(server.Close)
			_, err = New(server.Address(), "").Transact(t.Context(), ryeford.Write{Key: "k"})
			var unavailable *ryeford.UnavailableError
			assert.Assert(t, errors.As(err, &unavailable) && unavailable.MayHaveApplied, "%v", err)
			_, err = New(server.Address(), "").Get(t.Context(), "k")
			assert.Assert(t, err != nil)
		})
	}
}
