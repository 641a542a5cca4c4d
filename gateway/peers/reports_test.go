package peers

import (
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// TestReports checks that reports survive encoding and decoding, that loads and ages are clamped to the
// encodable range, and that a malformed length is rejected.
func TestReports(t *testing.T) {
	sent := &Message{Reports: Reports{
		{Endpoint: 1, Requests: 0, Age: 0},
		{Endpoint: 1 << 31, Requests: 300, Age: 120 * time.Millisecond},
		{Endpoint: 7, Requests: 1 << 20, Age: time.Hour},
		{Endpoint: 8, Requests: -1, Age: -time.Second},
	}}
	content, err := cbor.Marshal(sent)
	assert.NilError(t, err)
	var received Message
	assert.NilError(t, cbor.Unmarshal(content, &received))
	assert.DeepEqual(t, received.Reports, Reports{
		{Endpoint: 1},
		{Endpoint: 1 << 31, Requests: 300, Age: 120 * time.Millisecond},
		{Endpoint: 7, Requests: 65535, Age: 2550 * time.Millisecond},
		{Endpoint: 8},
	})
	var reports Reports
	err = reports.UnmarshalBinary(make([]byte, reportSize+1))
	var malformed *ReportsError
	assert.Assert(t, errors.As(err, &malformed))
	assert.Equal(t, malformed.Length, reportSize+1)
}
