package transport

import (
	"time"

	"github.com/quic-go/quic-go"

	"github.com/ryeford/ryeford/settings"
)

// Options are the settings of connections.
type Options struct {
	// IdleTimeout is after how long without a sign of life a peer is lost.
	IdleTimeout time.Duration
	// KeepAlive is how often an idle connection is probed.
	KeepAlive time.Duration
}

// NewOptions returns the Options that settings ask for.
func NewOptions(s *settings.Transport) Options {
	return Options{IdleTimeout: s.IdleTimeout, KeepAlive: s.KeepAlive}
}

// quicConfig returns the QUIC settings of both ends.
func (o *Options) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 o.IdleTimeout,
		KeepAlivePeriod:                o.KeepAlive,
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

const (
	protocol         = "ryeford/1"
	maxStreams       = 1 << 16
	handshakeTimeout = 3 * time.Second
	streamWindow     = 64 << 10
	connectionWindow = 256 << 10
	maxWindow        = 8 << 20
)
