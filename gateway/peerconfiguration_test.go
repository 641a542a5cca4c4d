package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/catalog"
)

// TestPeerConfigurationRoundTrip checks that a configuration is read from a peer unchanged, including
// the difference between no accounts and an empty list of accounts.
func TestPeerConfigurationRoundTrip(t *testing.T) {
	urgent := ryeford.PriorityHighest
	for _, want := range []*ryeford.Configuration{
		{Version: 3},
		{Version: 4, Accounts: []ryeford.AccountRule{}},
		{
			Version:  5,
			Routes:   []ryeford.RouteRule{{Name: "r", Host: "h", Prefix: "/a/", Kind: ryeford.RouteStream, Goal: time.Second, Split: []ryeford.WeightedService{{Service: "s", Weight: 2}}}},
			Accounts: []ryeford.AccountRule{{Account: "a", Keys: []string{"k"}, Priority: &urgent}},
			Limits:   ryeford.RequestLimits{MaxBody: 9, IdleTimeout: time.Minute},
		},
	} {
		server := httptest.NewServer(newPeerHandler(t, want))
		got, err := newPeerReader().configuration(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()))
		server.Close()
		assert.NilError(t, err)
		assert.DeepEqual(t, got.Configuration, want)
	}
}

// newPeerHandler returns the handler of a router with a confirmed configuration.
func newPeerHandler(t *testing.T, inForce *ryeford.Configuration) http.Handler {
	t.Helper()
	c := newConfiguration(configurationOptions{term: time.Minute})
	c.inForce.Put(catalog.New(inForce))
	c.lease.RenewRead(time.Now(), time.Now(), 0)
	return &peerHandler{configuration: c, log: log.NewNopLogger()}
}

// TestPeerHandler checks that a router does not serve a configuration that may be stale.
func TestPeerHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler := newPeerHandler(t, &ryeford.Configuration{Version: 3})
		status := func(path string) int {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
			return w.Code
		}
		assert.Equal(t, status(peerConfigurationPath), 200)
		assert.Equal(t, status("/"), 404)
		time.Sleep(time.Minute)
		assert.Equal(t, status(peerConfigurationPath), 503, "the lease has ended")
		handler = &peerHandler{configuration: newConfiguration(configurationOptions{}), log: log.NewNopLogger()}
		assert.Equal(t, status(peerConfigurationPath), 503, "no configuration")
	})
}

// TestPeerReaderFails checks that a peer that is silent, rejects the request or sends malformed data
// causes an error without a long wait.
func TestPeerReaderFails(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"refuses": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"garbles": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) },
		"closes the connection": func(w http.ResponseWriter, _ *http.Request) {
			full, _ := cbor.Marshal(&configurationResponse{Configuration: &ryeford.Configuration{Version: 3, Routes: make([]ryeford.RouteRule, 100)}})
			_, _ = w.Write(full[:len(full)/2])
		},
		"silent": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(answer)
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 20*peerReadTimeout)
			defer cancel()
			_, err := newPeerReader().configuration(ctx, netip.MustParseAddrPort(server.Listener.Addr().String()))
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err())
		})
	}
}
