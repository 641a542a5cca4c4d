package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/httpserver"
)

const (
	// peerConfigurationPath serves the configuration in force. peerEndpointsPath serves the copy of
	// the list of endpoints, as changes since the revision in the query parameter peerSince.
	peerConfigurationPath = "/configuration"
	peerEndpointsPath     = "/endpoints"
	peerSince             = "since"
)

// A peerHandler serves the configuration and the list of endpoints to peers.
type peerHandler struct {
	configuration *configuration
	endpoints     *endpointList
	log           log.Logger
}

// ServeHTTP implements http.Handler. It responds with 503 if the configuration may be stale, or if the
// list has never been read.
func (h *peerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case peerConfigurationPath:
		response := h.configuration.peerResponse()
		if response == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.write(w, r, response)
	case peerEndpointsPath:
		since, err := strconv.ParseInt(r.URL.Query().Get(peerSince), 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		response := h.endpoints.peerResponse(ryeford.Revision(since))
		if response == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.write(w, r, response)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (h *peerHandler) write(w http.ResponseWriter, r *http.Request, response any) {
	if err := cbor.NewEncoder(w).Encode(response); err != nil {
		_ = h.log.Log("msg", "response to peer failed; the peer reads from the source or another router instead", "what", r.URL.Path, "peer", r.RemoteAddr, "err", err)
	}
}

// serve serves peers at an address until ctx is done. A failure to listen is only logged, because
// peers can read from the source or other routers instead.
func (h *peerHandler) serve(ctx context.Context, address netip.AddrPort) error {
	if !address.IsValid() {
		return nil
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: peerReadTimeout, IdleTimeout: peerReadTimeout}
	if err := httpserver.ListenAndServe(ctx, address, server); err != nil {
		_ = h.log.Log("msg", "cannot serve peers; they read from the source or other routers instead", "err", err)
	}
	return nil
}
