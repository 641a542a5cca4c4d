package gateway

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/gateway/replica"
	"github.com/ryeford/ryeford/internal/clock"
)

// A router reads changes to the list of endpoints from a peer that has reported a newer copy, over
// HTTP at the peer's gossip address.

// A peerCopy is a copy of the list that a peer has reported.
type peerCopy struct {
	peer     netip.AddrPort
	contents replica.Range
}

// digest returns the description of the copy that peers receive, or nil if there is none.
func (l *endpointList) digest() *peers.List {
	// The confirmation is read before the range, so that the range is at least as new as the
	// confirmation.
	confirmed, known := l.lease.Confirmed()
	at := l.copy.Range()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !known || !at.IsSet() {
		return nil
	}
	return peers.NewList(at.From, at.To, !l.fullReadAt.IsZero(), confirmed)
}

// mergeDigest compares a peer's copy with this router's. It reads a newer copy, and renews the lease
// if they are the same.
func (l *endpointList) mergeDigest(peer netip.AddrPort, list *peers.List) {
	if list == nil {
		return
	}
	from, to, ok := list.Revisions()
	if !ok {
		return
	}
	peerRange := replica.Range{From: from, To: to}
	switch l.copy.MergeRange(peerRange) {
	case replica.Newer:
		// Within one era, a copy that was read in full may only appear to be newer.
		localRange := l.copy.Range()
		if l.skips(clock.Now(), peer) {
			return
		}
		if !list.Full || !localRange.IsSet() || peerRange.To.Era() > localRange.To.Era() {
			l.triggerPeerRead(peerCopy{peer: peer, contents: peerRange})
		}
	case replica.Same:
		if !list.Full {
			l.setFullReadAt(time.Time{})
		}
		l.renewFromPeer(list.ConfirmedAt, to.Era(), func() bool { return true })
	}
}

// mergeWithheld merges the endpoints that a peer reports as leaving though the list has them as ready.
func (l *endpointList) mergeWithheld(message *peers.Message) {
	endpoints, remaining := message.WithheldEndpoints()
	added := l.roster.Withhold(clock.Now(), endpoints, remaining)
	if len(added) == 0 {
		return
	}
	_ = l.log.Log("decision", "endpoints", "from", message.Sender, "withheld", join(added))
	l.triggerSweep()
}

// mergeLeaving merges the endpoints that have reported to a peer, or to one of its peers, that they
// are leaving.
func (l *endpointList) mergeLeaving(now time.Time, message *peers.Message) {
	var added []ryeford.EndpointID
	for _, id := range message.Leaving[:min(len(message.Leaving), peers.MaxLeaving)] {
		if l.roster.MarkLeaving(now, id) {
			added = append(added, id)
		}
	}
	if len(added) > 0 {
		_ = l.log.Log("decision", "endpoints", "from", message.Sender, "leaving", join(added))
	}
}

// setFullReadAt sets when the copy was read in full; zero if the revision of its newest change is
// known.
func (l *endpointList) setFullReadAt(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fullReadAt = at
}

// triggerPeerRead makes readPeers read a peer's copy.
func (l *endpointList) triggerPeerRead(c peerCopy) {
	select {
	case l.newerCopy <- c:
	default: // a read is already pending
	}
}

// readPeers reads the changes that this router lacks from peers until ctx is done.
func (l *endpointList) readPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-l.newerCopy:
			if l.copy.Range().Compare(c.contents) == replica.Newer {
				l.readPeer(ctx, c.peer)
			}
		}
	}
}

// readPeer reads the changes that this router lacks from a peer.
func (l *endpointList) readPeer(ctx context.Context, peer netip.AddrPort) {
	sent := clock.Now()
	response, err := l.reader.endpoints(ctx, peer, l.copy.Range().To)
	if err != nil {
		_ = l.log.Log("decision", "endpoints_from_peer", "peer", peer, "applied", false, "err", err)
		return
	}
	if !response.Software {
		l.skipPeer(sent, peer)
		_ = l.log.Log("decision", "endpoints_from_peer", "peer", peer, "applied", false, "why", "the peer's release doesn't send software versions; the source is read instead")
		return
	}
	l.revision.observe(response.Changes.Range.To)
	l.clock.Observe(sent, response.Latest)
	l.renewFromPeer(response.ConfirmedAt, response.Changes.Range.To.Era(), func() bool {
		if !l.apply(&response.Changes, peer.String()) {
			return false
		}
		readAt := time.Time{}
		if response.Whole {
			readAt = sent
		}
		l.setFullReadAt(readAt)
		return true
	})
}

// skipDuration is how long a peer of an older release is not read from. It may be replaced by a newer one meanwhile.
const skipDuration = 10 * time.Second

// skipPeer makes this router read nothing from a peer for skipDuration.
func (l *endpointList) skipPeer(now time.Time, peer netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.skipped, func(_ netip.AddrPort, since time.Time) bool { return now.Sub(since) >= skipDuration })
	if l.skipped == nil {
		l.skipped = make(map[netip.AddrPort]time.Time)
	}
	l.skipped[peer] = now
}

// skips reports whether nothing is read from a peer now.
func (l *endpointList) skips(now time.Time, peer netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, skipped := l.skipped[peer]
	return skipped && now.Sub(since) < skipDuration
}

// A listResponse is the response to a peer that reads the list of endpoints.
type listResponse struct {
	Changes replica.Changes
	// ConfirmedAt is what the source's clock showed when the copy was last confirmed as the newest,
	// and Latest is the maximum that it may show now.
	ConfirmedAt time.Duration
	Latest      time.Duration
	// Whole has the meaning of peers.List.Full.
	Whole bool
	// Software means that the entries have their software versions. Routers of older releases don't send them.
	Software bool
}

// peerResponse returns the changes since a revision for a peer, or nil if the list is not known yet.
func (l *endpointList) peerResponse(since ryeford.Revision) *listResponse {
	// The confirmation is read before the changes, so that they are at least as new as the
	// confirmation.
	confirmed, known := l.lease.Confirmed()
	upperBound, bounded := l.clock.UpperBound(clock.Now())
	if !known || !bounded || !l.copy.Range().IsSet() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return &listResponse{Software: true, Whole: !l.fullReadAt.IsZero(), Changes: l.copy.Since(since), ConfirmedAt: confirmed, Latest: upperBound}
}
