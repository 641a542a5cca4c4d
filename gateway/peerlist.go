package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/gateway/replica"
	"github.com/ryeford/ryeford/internal/clock"
)

// A router that learns that a peer has a newer copy of the list of endpoints reads from it what it
// lacks: over HTTP, at the address of the peer's gossip.

// A peerCopy is a copy of the list that a peer has reported.
type peerCopy struct {
	peer     netip.AddrPort
	contents replica.Range
}

// digest returns what peers receive of the copy, or nil.
func (l *endpointList) digest() *peers.List {
	// The confirmation is read before the range, which then is as new as it says or newer.
	confirmed, known := l.lease.Confirmed()
	at := l.copy.Range()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !known || !at.Known() {
		return nil
	}
	return peers.ListOf(at.From, at.To, !l.wholeReadAt.IsZero(), confirmed)
}

// mergeDigest takes what a peer has reported of its copy.
func (l *endpointList) mergeDigest(peer netip.AddrPort, list *peers.List) {
	if list == nil {
		return
	}
	from, to, ok := list.Revisions()
	if !ok {
		return
	}
	peerRange := replica.Range{From: from, To: to}
	switch l.copy.Meet(peerRange) {
	case replica.Newer:
		// A copy that was read whole may only seem to be newer, unless it is of a later era.
		localRange := l.copy.Range()
		if !list.Whole || !localRange.Known() || peerRange.To.Era() > localRange.To.Era() {
			l.triggerPeerRead(peerCopy{peer: peer, contents: peerRange})
		}
	case replica.Same:
		if !list.Whole {
			l.setWholeReadAt(time.Time{})
		}
		l.renewFromPeer(list.ConfirmedAt, to.Era(), func() bool { return true })
	}
}

// mergeWithheld takes what a peer says of endpoints that leave though the list has them as ready.
func (l *endpointList) mergeWithheld(message *peers.Message) {
	endpoints, left := message.ReadWithheld()
	added := l.roster.Withhold(clock.Now(), endpoints, left)
	if len(added) == 0 {
		return
	}
	_ = l.log.Log("decision", "endpoints", "from", message.Sender, "withheld", join(added))
	l.triggerSweep()
}

// mergeLeaving takes which endpoints have said to a peer, or to one of its peers, that they mergeLeaving.
func (l *endpointList) mergeLeaving(now time.Time, message *peers.Message) {
	var added []ryeford.EndpointID
	for _, id := range message.Leaving[:min(len(message.Leaving), peers.MaxLeaving)] {
		if l.roster.Leave(now, id) {
			added = append(added, id)
		}
	}
	if len(added) > 0 {
		_ = l.log.Log("decision", "endpoints", "from", message.Sender, "leaving", join(added))
	}
}

// setWholeReadAt sets when the copy was read whole, or that its newest change is known.
func (l *endpointList) setWholeReadAt(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wholeReadAt = at
}

// triggerPeerRead makes follow read a peer's copy.
func (l *endpointList) triggerPeerRead(c peerCopy) {
	select {
	case l.newerCopy <- c:
	default: // it is to read one already
	}
}

// readPeers reads what this router lacks of peers' copies until ctx ends.
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

// readPeer reads what this router lacks of a peer's copy.
func (l *endpointList) readPeer(ctx context.Context, peer netip.AddrPort) {
	sent := clock.Now()
	response, err := l.reader.endpoints(ctx, peer, l.copy.Range().To)
	if err != nil {
		_ = l.log.Log("decision", "endpoints_from_peer", "peer", peer, "applied", false, "err", err)
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
		l.setWholeReadAt(readAt)
		return true
	})
}

// A listResponse is what a router answers a peer that reads its copy of the list.
type listResponse struct {
	Changes replica.Changes
	// ConfirmedAt is what the source's clock showed when the copy was last known to be the
	// newest, and Latest the most that it may show now.
	ConfirmedAt time.Duration
	Latest      time.Duration
	// Whole is as in a peers.List.
	Whole bool
}

// peerResponse returns what a peer lacks that has the list up to a revision, or nil if there is nothing
// to tell.
func (l *endpointList) peerResponse(since ryeford.Revision) *listResponse {
	// The confirmation is read before the changes, which then are as new as it says or newer.
	confirmed, known := l.lease.Confirmed()
	latest, bounded := l.clock.Latest(clock.Now())
	if !known || !bounded || !l.copy.Range().Known() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return &listResponse{Whole: !l.wholeReadAt.IsZero(), Changes: l.copy.Since(since), ConfirmedAt: confirmed, Latest: latest}
}
