package gateway

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/clock"
)

// A router takes the configuration from a peer that has reported a newer one, and reads the source
// only if that fails: over HTTP, at the address of the peer's gossip, in CBOR. What a peer says of
// the version is believed as it is when it renews the lease.

// A configurationResponse is what a router answers a peer that reads its configuration.
type configurationResponse struct {
	Configuration *ryeford.Configuration
	// ConfirmedAt is what the source's clock showed when the configuration was last known to
	// be the newest, and Latest the most that it may show now.
	ConfirmedAt time.Duration
	Latest      time.Duration
	// Evacuations are those that were read, as of ConfirmedAt or later.
	Evacuations ryeford.Evacuations
}

// readFromPeer puts the configuration of a peer in force that has reported a newer one, and
// reports whether it has.
func (c *configuration) readFromPeer(ctx context.Context) bool {
	version, peer := c.newer.reporter()
	if !peer.IsValid() || version <= c.version() {
		return false
	}
	sent := clock.Now()
	read, err := c.peerReader.configuration(ctx, peer)
	if err != nil {
		_ = c.log.Log("decision", "configuration_from_peer", "peer", peer, "version", version, "applied", false, "err", err)
		return false
	}
	if read.Configuration == nil {
		_ = c.log.Log("decision", "configuration_from_peer", "peer", peer, "version", version, "applied", false, "why", "empty answer")
		return false
	}
	c.clock.Observe(sent, read.Latest)
	c.evacuations.merge(read.Evacuations, peer.String())
	applied, took := c.replace(read.Configuration, sent)
	c.newer.setInForceFromPeer(c.version(), took >= c.changeTimeout)
	if read.Configuration.Version == c.version() {
		c.lease.RenewFromPeer(clock.Now(), read.ConfirmedAt)
		c.onUpdate()
	}
	_ = c.log.Log("decision", "configuration_from_peer", "peer", peer, "version", read.Configuration.Version, "took", roundTime(took), "applied", applied)
	return c.version() >= version
}

// peerResponse returns what a peer is handed out, or nil if there is no configuration or it may be stale.
func (c *configuration) peerResponse() *configurationResponse {
	now := clock.Now()
	// The confirmation is read before the configuration and the evacuations, as in gossip.briefMessage.
	confirmed, known := c.lease.Confirmed()
	latest, bounded := c.clock.Latest(now)
	current := c.current()
	if !known || !bounded || current == nil || !c.reliable(now) {
		return nil
	}
	return &configurationResponse{Configuration: current.Configuration(), ConfirmedAt: confirmed, Latest: latest, Evacuations: c.evacuations.known()}
}
