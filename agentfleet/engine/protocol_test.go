package engine

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestHeaderStart checks that a completion request carries the admission time with
// microsecond precision, or no header if the time is unknown.
func TestHeaderStart(t *testing.T) {
	for _, admitted := range []time.Time{{}, time.UnixMicro(1_796_229_370_914_653)} {
		var sent []string
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			sent = request.Header.Values(HeaderStart)
		}))
		client := New(netip.MustParseAddrPort(server.Listener.Addr().String()))
		reader, err := client.Complete(t.Context(), "c1", &ryeford.Completion{Attempt: "a1", Admitted: admitted})
		assert.NilError(t, err)
		assert.NilError(t, reader.Close())
		server.Close()
		if admitted.IsZero() {
			assert.Equal(t, len(sent), 0)
			continue
		}
		assert.DeepEqual(t, sent, []string{"t=1796229370914653"})
		got, err := ParseStart(sent[0])
		assert.NilError(t, err)
		assert.Assert(t, got.Equal(admitted))
	}
}

// TestParseStartInvalid checks that invalid values are errors.
func TestParseStartInvalid(t *testing.T) {
	for _, value := range []string{"", "t=", "1796229370914653", "t=now", "t=1.5"} {
		_, err := ParseStart(value)
		assert.ErrorContains(t, err, HeaderStart, "%q", value)
	}
}
