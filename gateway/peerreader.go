package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/transfer"
)

const (
	// peerReadTimeout is for how long nothing of a peer's answer may come: a round trip
	// between failure domains takes some milliseconds.
	peerReadTimeout = 500 * time.Millisecond
	// maxPeerResponse bounds the memory that a peer's answer takes, in bytes: as that of
	// the store.
	maxPeerResponse = 32 << 20
)

// A peerReader reads from peers what they hand out.
type peerReader struct {
	http *http.Client
}

// newPeerReader returns a peerReader. It keeps no connections: it is rarely used, and one
// that is kept may have gone silent.
func newPeerReader() *peerReader {
	dialer := net.Dialer{Timeout: peerReadTimeout}
	return &peerReader{http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}}
}

// configuration returns the configuration in force at a peer. The error is an *UnavailableError.
func (r *peerReader) configuration(ctx context.Context, peer netip.AddrPort) (*configurationResponse, error) {
	var response configurationResponse
	return &response, r.read(ctx, "http://"+peer.String()+peerConfigurationPath, &response)
}

// endpoints returns what a peer's copy of the list of endpoints has that one lacks which has it up
// to a revision. The error is an *UnavailableError.
func (r *peerReader) endpoints(ctx context.Context, peer netip.AddrPort, since ryeford.Revision) (*listResponse, error) {
	target := "http://" + peer.String() + peerEndpointsPath + "?" + peerSince + "=" + strconv.FormatInt(int64(since), 10)
	var response listResponse
	return &response, r.read(ctx, target, &response)
}

// read reads what a peer hands out at a target. The error is an *UnavailableError.
func (r *peerReader) read(ctx context.Context, target string, result any) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := transfer.NewWatch(0, peerReadTimeout, cancel)
	defer watch.Stop()
	unavailable := func(err error) error { return &ryeford.UnavailableError{Service: target, Err: err} }
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return unavailable(err)
	}
	response, err := r.http.Do(request)
	if err != nil {
		return unavailable(err)
	}
	defer func() { _ = response.Body.Close() }() // nothing is done with the connection after this
	if response.StatusCode != http.StatusOK {
		return unavailable(&ryeford.StatusError{Status: response.StatusCode})
	}
	body := http.MaxBytesReader(nil, response.Body, maxPeerResponse)
	if err := cbor.NewDecoder(watch.Reader(body)).Decode(result); err != nil {
		return unavailable(watch.Broken(err))
	}
	return nil
}
