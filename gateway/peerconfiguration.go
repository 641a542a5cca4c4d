package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/httpserver"
	"github.com/ryeford/ryeford/internal/transfer"
)

// A router whose own read has failed takes the configuration from a peer that has told of a
// newer one: over HTTP, at the address of the peer's gossip, in CBOR. What a peer says of the
// version is believed as it is when it renews the lease.

const (
	// peerConfigurationPath is where a router hands out the configuration in force.
	peerConfigurationPath = "/configuration"
	// peerReadTimeout is for how long nothing of a peer's answer may come. Not measured; a
	// round trip between failure domains takes 3 ms on the users' sites.
	peerReadTimeout = 500 * time.Millisecond
	// maxPeerConfiguration bounds the memory that a peer's answer takes, in bytes: as that of
	// the store.
	maxPeerConfiguration = 32 << 20
)

// A peerReader reads the configuration from peers.
type peerReader struct {
	http *http.Client
}

// newPeerReader returns a peerReader. It keeps no connections: it is rarely used, and one
// that is kept may have gone silent.
func newPeerReader() *peerReader {
	dialer := net.Dialer{Timeout: peerReadTimeout}
	return &peerReader{http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}}
}

// read returns the configuration in force at a peer. The error is an *UnavailableError.
func (r *peerReader) read(ctx context.Context, peer netip.AddrPort) (*ryeford.Configuration, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := transfer.NewWatch(0, peerReadTimeout, cancel)
	defer watch.Stop()
	target := "http://" + peer.String() + peerConfigurationPath
	unavailable := func(err error) error { return &ryeford.UnavailableError{Service: target, Err: err} }
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, unavailable(err)
	}
	got, err := r.http.Do(request)
	if err != nil {
		return nil, unavailable(err)
	}
	defer func() { _ = got.Body.Close() }() // nothing is done with the connection after this
	if got.StatusCode != http.StatusOK {
		return nil, unavailable(&ryeford.StatusError{Status: got.StatusCode})
	}
	var configuration ryeford.Configuration
	body := http.MaxBytesReader(nil, got.Body, maxPeerConfiguration)
	if err := cbor.NewDecoder(watch.Reader(body)).Decode(&configuration); err != nil {
		return nil, unavailable(watch.Broken(err))
	}
	return &configuration, nil
}

// readFromPeer puts the configuration of a peer in force that has told of a newer one, if
// there is such a peer.
func (c *configuration) readFromPeer(ctx context.Context) {
	version, peer := c.newer.teller()
	if !peer.IsValid() || version <= c.version() {
		return
	}
	sent := time.Now()
	read, err := c.peerReader.read(ctx, peer)
	if err != nil {
		_ = c.log.Log("decision", "configuration_from_peer", "peer", peer, "version", version, "applied", false, "err", err)
		return
	}
	applied, took := c.replace(read, sent)
	c.newer.putPeersInForce(c.version(), took >= c.bound)
	_ = c.log.Log("decision", "configuration_from_peer", "peer", peer, "version", read.Version, "took", roundTime(took), "applied", applied)
}

// A peerHandler hands the configuration in force out to peers.
type peerHandler struct {
	configuration *configuration
	log           log.Logger
}

// ServeHTTP implements http.Handler. A configuration that may be stale is not handed out.
func (h *peerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	current := h.configuration.current()
	switch {
	case r.URL.Path != peerConfigurationPath:
		w.WriteHeader(http.StatusNotFound)
		return
	case current == nil || !h.configuration.reliable(time.Now()):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := cbor.NewEncoder(w).Encode(current.Configuration()); err != nil {
		_ = h.log.Log("msg", "configuration not handed out", "peer", r.RemoteAddr, "err", err)
	}
}

// serve hands the configuration out at an address until ctx ends. A failure to listen is
// logged only: peers then do without.
func (h *peerHandler) serve(ctx context.Context, address netip.AddrPort) error {
	if !address.IsValid() {
		return nil
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: peerReadTimeout, IdleTimeout: peerReadTimeout}
	if err := httpserver.ListenAndServe(ctx, address, server); err != nil {
		_ = h.log.Log("msg", "configuration not handed out to peers", "err", err)
	}
	return nil
}
