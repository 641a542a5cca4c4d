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
	// peerConfigurationPath is where a router hands out the configuration in force, and
	// peerEndpointsPath where its copy of the list of endpoints, from the revision of peerSince on.
	peerConfigurationPath = "/configuration"
	peerEndpointsPath     = "/endpoints"
	peerSince             = "since"
)

// A peerHandler hands what this router knows out to peers.
type peerHandler struct {
	configuration *configuration
	endpoints     *endpointList
	log           log.Logger
}

// ServeHTTP implements http.Handler. A configuration that may be stale is not handed out, and no
// list that was never read.
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

// write writes an answer.
func (h *peerHandler) write(w http.ResponseWriter, r *http.Request, response any) {
	if err := cbor.NewEncoder(w).Encode(response); err != nil {
		_ = h.log.Log("msg", "not handed out", "what", r.URL.Path, "peer", r.RemoteAddr, "err", err)
	}
}

// serve hands out at an address until ctx ends. A failure to listen is
// logged only: peers then do without.
func (h *peerHandler) serve(ctx context.Context, address netip.AddrPort) error {
	if !address.IsValid() {
		return nil
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: peerReadTimeout, IdleTimeout: peerReadTimeout}
	if err := httpserver.ListenAndServe(ctx, address, server); err != nil {
		_ = h.log.Log("msg", "nothing handed out to peers", "err", err)
	}
	return nil
}
