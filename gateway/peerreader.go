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
	"github.com/ryeford/ryeford/internal/httpscan"
	"github.com/ryeford/ryeford/internal/transfer"
)

const (
	// peerReadTimeout is the idle timeout when reading a peer's response. A round trip between failure
	// domains takes some milliseconds.
	peerReadTimeout = 500 * time.Millisecond
	// maxPeerResponse limits the size of a peer's response, in bytes, as for responses of the store.
	maxPeerResponse = 32 << 20
	// maxPeerHead limits the head of a response, in bytes.
	maxPeerHead = 64 << 10
)

// A peerReader reads the configuration and the list of endpoints from peers.
type peerReader struct {
	http *http.Client
}

// newPeerReader returns a peerReader. It doesn't reuse connections: reads are rare, and an idle
// connection may be broken without notice.
func newPeerReader() *peerReader {
	dialer := net.Dialer{Timeout: peerReadTimeout}
	return &peerReader{http: &http.Client{Transport: httpscan.Transport{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxPeerHead,
	}}}}
}

// configuration reads the configuration in force at a peer. The error is an *UnavailableError.
func (r *peerReader) configuration(ctx context.Context, peer netip.AddrPort) (*configurationResponse, error) {
	var response configurationResponse
	return &response, r.read(ctx, "http://"+peer.String()+peerConfigurationPath, &response)
}

// endpoints reads the changes to the list of endpoints since a revision from a peer's copy. The error
// is an *UnavailableError.
func (r *peerReader) endpoints(ctx context.Context, peer netip.AddrPort, since ryeford.Revision) (*listResponse, error) {
	target := "http://" + peer.String() + peerEndpointsPath + "?" + peerSince + "=" + strconv.FormatInt(int64(since), 10)
	var response listResponse
	return &response, r.read(ctx, target, &response)
}

// read reads and decodes the response from target. The error is an *UnavailableError.
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
	defer func() { _ = response.Body.Close() }() // the connection is not used again
	if response.StatusCode != http.StatusOK {
		return unavailable(&ryeford.StatusError{Status: response.StatusCode})
	}
	body := http.MaxBytesReader(nil, response.Body, maxPeerResponse)
	if err := cbor.NewDecoder(watch.ResponseReader(body)).Decode(result); err != nil {
		return unavailable(watch.Interrupted(err))
	}
	return nil
}
