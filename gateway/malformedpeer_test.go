package gateway

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/standin/rawresponse"
)

// TestMalformedHeadOfPeer guards against a peer's list or configuration that counts though the head of its response is none.
func TestMalformedHeadOfPeer(t *testing.T) {
	body, err := cbor.Marshal(&listResponse{Software: true})
	assert.NilError(t, err)
	for name, text := range rawresponse.MalformedHeads(string(body)) {
		t.Run(name, func(t *testing.T) {
			server, err := rawresponse.Start(text)
			assert.NilError(t, err)
			t.Cleanup(server.Close)
			_, err = newPeerReader().endpoints(t.Context(), server.Address(), 1)
			assert.Assert(t, err != nil)
			_, err = newPeerReader().configuration(t.Context(), server.Address())
			assert.Assert(t, err != nil)
		})
	}
}
