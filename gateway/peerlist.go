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
	peer netip.AddrPort
	at   replica.Range
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
	return peers.ListOf(at.From, at.To, !l.whole.IsZero(), confirmed)
}

// hear takes what a peer has reported of its copy.
func (l *endpointList) hear(peer netip.AddrPort, list *peers.List) {
	if list == nil {
		return
	}
	from, to, ok := list.Revisions()
	if !ok {
		return
	}
	theirs := replica.Range{From: from, To: to}
	switch l.copy.Meet(theirs) {
	case replica.Newer:
		// A copy that was read whole may only seem to be newer, unless it is of a later era.
		known := l.copy.Range()
		if !list.Whole || !known.Known() || theirs.To.Era() > known.To.Era() {
			l.readSoon(peerCopy{peer: peer, at: theirs})
		}
	case replica.Same:
		if !list.Whole {
			l.setWhole(time.Time{})
		}
		l.renewFromPeer(list.ConfirmedAt, to.Era(), func() bool { return true })
	}
}

// withhold takes what a peer says of endpoints that leave though the list has them as ready.
func (l *endpointList) withhold(message *peers.Message) {
	endpoints, left := message.ReadWithheld()
	learnt := l.roster.Withhold(clock.Now(), endpoints, left)
	if len(learnt) == 0 {
		return
	}
	_ = l.log.Log("decision", "endpoints", "from", message.Sender, "withheld", join(learnt))
	l.sweepSoon()
}

// leave takes which endpoints have said to a peer, or to one of its peers, that they leave.
func (l *endpointList) leave(now time.Time, message *peers.Message) {
	var learnt []ryeford.EndpointID
	for _, id := range message.Leaving[:min(len(message.Leaving), peers.MaxLeaving)] {
		if l.roster.Leave(now, id) {
			learnt = append(learnt, id)
		}
	}
	if len(learnt) > 0 {
		_ = l.log.Log("decision", "endpoints", "from", message.Sender, "leaving", join(learnt))
	}
}

// setWhole sets when the copy was read whole, or that its newest change is known.
func (l *endpointList) setWhole(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.whole = at
}

// readSoon makes follow read a peer's copy.
func (l *endpointList) readSoon(c peerCopy) {
	select {
	case l.newer <- c:
	default: // it is to read one already
	}
}

// follow reads what this router lacks of peers' copies until ctx ends.
func (l *endpointList) follow(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-l.newer:
			if l.copy.Range().Compare(c.at) == replica.Newer {
				l.readPeer(ctx, c.peer)
			}
		}
	}
}

// readPeer reads what this router lacks of a peer's copy.
func (l *endpointList) readPeer(ctx context.Context, peer netip.AddrPort) {
	sent := clock.Now()
	answer, err := l.reader.endpoints(ctx, peer, l.copy.Range().To)
	if err != nil {
		_ = l.log.Log("decision", "endpoints_from_peer", "peer", peer, "applied", false, "err", err)
		return
	}
	l.revision.enter(answer.Changes.Range.To)
	l.clock.Observe(sent, answer.Latest)
	l.renewFromPeer(answer.ConfirmedAt, answer.Changes.Range.To.Era(), func() bool {
		if !l.apply(&answer.Changes, peer.String()) {
			return false
		}
		whole := time.Time{}
		if answer.Whole {
			whole = sent
		}
		l.setWhole(whole)
		return true
	})
}

// A listAnswer is what a router answers a peer that reads its copy of the list.
type listAnswer struct {
	Changes replica.Changes
	// ConfirmedAt is what the source's clock showed when the copy was last known to be the
	// newest, and Latest the most that it may show now.
	ConfirmedAt time.Duration
	Latest      time.Duration
	// Whole is as in a peers.List.
	Whole bool
}

// answer returns what a peer lacks that has the list up to a revision, or nil if there is nothing
// to tell.
func (l *endpointList) answer(since ryeford.Revision) *listAnswer {
	// The confirmation is read before the changes, which then are as new as it says or newer.
	confirmed, known := l.lease.Confirmed()
	latest, bounded := l.clock.Latest(clock.Now())
	if !known || !bounded || !l.copy.Range().Known() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return &listAnswer{Whole: !l.whole.IsZero(), Changes: l.copy.Since(since), ConfirmedAt: confirmed, Latest: latest}
}
