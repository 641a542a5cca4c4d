package gateway

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/clock"
)

// A router reads a newer configuration from the peer that has reported it, and from the source only if
// that fails. Peers serve it over HTTP at their gossip address, encoded as CBOR. A peer's version
// number is trusted as in confirmations that renew the lease.

// A configurationResponse is the response to a peer that reads the configuration.
type configurationResponse struct {
	Configuration *ryeford.Configuration
	// ConfirmedAt is what the source's clock showed when the configuration was last confirmed as the
	// newest, and Latest is the maximum that it may show now.
	ConfirmedAt time.Duration
	Latest      time.Duration
	// Evacuations were read at ConfirmedAt or later.
	Evacuations ryeford.Evacuations
}

// readFromPeer reads a newer configuration from the peer that has reported it, puts it in force, and
// reports whether the version in force is now at least the reported one.
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
		_ = c.log.Log("decision", "configuration_from_peer", "peer", peer, "version", version, "applied", false, "why", "response without a configuration")
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

// peerResponse returns the response to a peer, or nil if there is no configuration or it may be stale.
func (c *configuration) peerResponse() *configurationResponse {
	now := clock.Now()
	// The confirmation is read before the configuration and the evacuations, as in
	// gossip.briefMessage.
	confirmed, known := c.lease.Confirmed()
	upperBound, bounded := c.clock.UpperBound(now)
	current := c.current()
	if !known || !bounded || current == nil || !c.reliable(now) {
		return nil
	}
	return &configurationResponse{Configuration: current.Configuration(), ConfirmedAt: confirmed, Latest: upperBound, Evacuations: c.evacuations.lastRead()}
}
