package transport

import (
	"time"

	"github.com/quic-go/quic-go"

	"github.com/ryeford/ryeford/settings"
)

// protocol is the name of the protocol in the TLS handshake.
const protocol = "ryeford/1"

// The bounds of a connection. None is measured.
const (
	handshakeTimeout = 3 * time.Second
	maxStreams       = 1 << 16   // that a peer may have open at once
	streamWindow     = 64 << 10  // bytes of a stream in flight, at first
	connectionWindow = 256 << 10 // bytes of all streams in flight, at first
	maxWindow        = 8 << 20   // bytes up to which both may grow
)

// newQUICConfig returns the QUIC settings of both ends. What the keep-alives of idle
// connections cost: docs/CAPACITY.md, S10 and S11.
func newQUICConfig(s *settings.Transport) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 s.IdleTimeout,
		KeepAlivePeriod:                s.KeepAlive,
		MaxIncomingStreams:             maxStreams,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     maxWindow,
		EnableDatagrams:                true,
		// Messages are small, and each probe for a larger packet goes along with a
		// keep-alive of an idle connection.
		DisablePathMTUDiscovery: true,
	}
}
