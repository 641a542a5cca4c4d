package tableservice

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestErrors checks the error for each kind of response.
func TestErrors(t *testing.T) {
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for _, test := range []struct {
		name           string
		handler        http.HandlerFunc
		check          func(err error) bool // checks the error of a write
		mayHaveApplied bool
	}{
		{"accepted", respond(200, `{"version":7}`), func(err error) bool { return err == nil }, false},
		{"conflict", respond(200, `{"conflicts":["k"]}`), as[*ryeford.ConflictError], false},
		{"error status", respond(500, ``), as[*ryeford.UnavailableError], false},
		{"not found", respond(404, ``), as[*ryeford.NotFoundError], false},
		{"malformed response", respond(200, `{`), as[*ryeford.UnavailableError], true},
		{"aborted response", abort, as[*ryeford.UnavailableError], true},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			client := New(netip.MustParseAddrPort(server.Listener.Addr().String()), "")
			_, err := client.Transact(t.Context(), ryeford.Write{Key: "k"})
			assert.Assert(t, test.check(err), "%v", err)
			var unavailable *ryeford.UnavailableError
			assert.Equal(t, errors.As(err, &unavailable) && unavailable.MayHaveApplied, test.mayHaveApplied)

			// A failed read is never reported as applied.
			_, err = client.Get(t.Context(), "k")
			assert.Assert(t, !errors.As(err, &unavailable) || !unavailable.MayHaveApplied)
		})
	}
}

// as reports whether an error wraps an error of type E.
func as[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}

// TestVMsNotModified checks that an unchanged list of VMs is sent only once.
func TestVMsNotModified(t *testing.T) {
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("If-None-Match") == `"1"` {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sent++
		w.Header().Set("ETag", `"1"`)
		_, _ = w.Write([]byte(`[{"id":"endpoint-1"}]`))
	}))
	defer server.Close()
	client := New(netip.MustParseAddrPort(server.Listener.Addr().String()), "router-1")
	for range 3 {
		vms, err := client.VMs(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(vms), 1)
	}
	assert.Equal(t, sent, 1)
}
