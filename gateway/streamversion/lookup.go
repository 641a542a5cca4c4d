package streamversion

import (
	"context"
	"net/netip"
	"time"

	"github.com/ryeford/ryeford"
)

// Resume finds out which version began the stream that a caller takes up, and binds the stream to it. resumes is the
// ID of the request that brought the first event, or empty if the caller names none. It returns the Origin once it is
// known, once all peers that may know it have replied, or after lookupTimeout. If ctx ends before that, the Origin is
// unknown.
func (s *Stream) Resume(ctx context.Context, resumes ryeford.RequestID, account ryeford.AccountID) Origin {
	origin := s.origin(ctx, resumes, account)
	s.constraint = BegunBy(origin.Software)
	return origin
}

func (s *Stream) origin(ctx context.Context, resumes ryeford.RequestID, account ryeford.AccountID) Origin {
	t := s.tracker
	now := t.now()
	key := NewKey(resumes, s.service, account)
	t.mu.Lock()
	record, ok := t.records.get(now, key)
	t.mu.Unlock()
	if ok && resumes != "" {
		return Origin{Software: record.Software, Source: SourceRecord, Age: now.Sub(record.kept)}
	}
	if only, ok := t.history.Only(now, s.service); ok {
		if origin, decided := s.confirmOnly(ctx, key, resumes != "", only); decided {
			return origin
		}
	}
	origin := s.lookUp(ctx, key, resumes != "")
	if !origin.Software.Known() && t.restore != nil {
		s.lookUpStored(ctx, key, resumes != "", &origin)
	}
	return origin
}

// confirmOnly returns the Origin of a stream whose service has run one version only as far as this router knows. Others may
// know more: a stream begins at a new version before all routers list it if the old one accepts no requests any more, or at a
// router that has just started. Each peer that would have the record has to reply that it has none, or, if the caller has not
// named the stream, that it knows no other version either; or the platform's store has to hold no other version. Else nothing is
// decided. If a peer knows another version as the only one, the Origin is unknown.
func (s *Stream) confirmOnly(ctx context.Context, key Key, named bool, only ryeford.SoftwareVersion) (origin Origin, decided bool) {
	t := s.tracker
	l := &lookup{tracker: t, key: key, named: named, only: only, done: make(chan struct{})}
	origin = s.ask(ctx, l, lookupPeers)
	certain := origin.Silent == 0 && (named || l.allProve())
	asked := Origin{Source: SourceNone, Asked: origin.Asked, Silent: origin.Silent}
	switch {
	case origin.Source == SourcePeer:
		return origin, true
	case origin.Source == SourceProof && origin.Software != only:
		return asked, true
	case !certain && !s.storeHoldsOnly(ctx, key, only):
		return asked, false
	}
	asked.Software, asked.Source = only, SourceOnly
	return asked, true
}

// storeHoldsOnly reports whether the platform's store, as it is read now, holds a version of the stream's service and no
// other.
func (s *Stream) storeHoldsOnly(ctx context.Context, key Key, only ryeford.SoftwareVersion) bool {
	t := s.tracker
	if t.restore == nil {
		return false
	}
	_, read := t.restore(ctx, key, false)
	stored, ok := t.history.OnlyStored(t.now(), s.service)
	return read && ok && stored == only
}

// lookUpStored completes an Origin that no peer knows by what the platform's store holds.
func (s *Stream) lookUpStored(ctx context.Context, key Key, named bool, origin *Origin) {
	t := s.tracker
	_, read := t.restore(ctx, key, false)
	if only, ok := t.history.OnlyStored(t.now(), s.service); ok && read {
		origin.Software, origin.Source = only, SourceStore
		return
	}
	if !named {
		return
	}
	software, found := t.restore(ctx, key, true)
	if !found {
		return
	}
	origin.Software, origin.Source = software, SourceStore
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.put(t.now(), Record{Key: key, Software: software}) // the caller may take the stream up here again
}

// secondRound is how long a lookup waits for the first peers before it goes by a proof, or asks further ones.
const secondRound = 25 * time.Millisecond

// lookUp asks peers for the record of a stream. named is false if the caller has not named the stream, so that only
// a proof can tell its version.
func (s *Stream) lookUp(ctx context.Context, key Key, named bool) Origin {
	return s.ask(ctx, &lookup{tracker: s.tracker, key: key, named: named, done: make(chan struct{})}, maxLookupPeers)
}

// ask asks at most n peers, and keeps what they know.
func (s *Stream) ask(ctx context.Context, l *lookup, n int) Origin {
	t, key := s.tracker, l.key
	t.mu.Lock()
	l.unasked = t.ranked(t.now(), key.Request, n)
	l.askNext()
	t.mu.Unlock()
	l.wait(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range l.calls {
		t.endCall(c)
	}
	origin := l.origin()
	switch origin.Source {
	case SourcePeer:
		t.records.put(t.now(), l.found.Record) // the caller may take the stream up here again
	case SourceProof:
		t.history.Adopt(t.now(), s.service, origin.Software)
	}
	return origin
}

// A lookup asks peers for the record of a stream until one knows it. Its fields are guarded by Tracker.mu.
type lookup struct {
	tracker *Tracker
	key     Key
	named   bool
	// only is the version that this router knows as the only one, or unknown.
	only    ryeford.SoftwareVersion
	unasked []netip.AddrPort
	calls   []*call
	found   *reply // that has the record, or nil
	proof   *reply // that proves the only version of the service, or nil
	done    chan struct{}
	ended   bool // done is closed
}

// wait waits until the lookup is done or takes too long.
func (l *lookup) wait(ctx context.Context) {
	timer, next := time.NewTimer(lookupTimeout), time.NewTimer(secondRound)
	defer timer.Stop()
	defer next.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-next.C:
			l.tracker.mu.Lock()
			l.endRound()
			l.tracker.mu.Unlock()
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// askNext asks the next peers, or ends the lookup if all that were asked have replied and none is left.
func (l *lookup) askNext() {
	if l.ended {
		return
	}
	n := min(lookupPeers, len(l.unasked))
	if n == 0 {
		if l.silent() == 0 {
			l.end()
		}
		return
	}
	peers := l.unasked[:n]
	l.unasked = l.unasked[n:]
	message := message{Kind: kindLookup, Record: Record{Key: l.key}}
	l.calls = append(l.calls, l.tracker.startCall(message, peers, l.evaluate))
}

// endRound ends the lookup if a version is known as the only one, and asks further peers otherwise.
func (l *lookup) endRound() {
	if l.only.Known() || l.proof != nil {
		l.end()
		return
	}
	l.askNext()
}

// evaluate looks for an answer among the replies, and ends the round if all have replied. A record counts more than a proof,
// whose peer may lack a version that others know.
func (l *lookup) evaluate() {
	for _, c := range l.calls {
		for i := range c.replies {
			r := &c.replies[i]
			if r.Found && l.named && r.Record.Key == l.key {
				l.found = r
			}
			if r.Only.Known() && (l.proof == nil || r.Only != l.only) {
				l.proof = r
			}
		}
	}
	switch {
	case l.found != nil:
		l.end()
	case l.silent() == 0:
		l.endRound()
	}
}

// allProve reports whether each reply proves the version that this router knows as the only one.
func (l *lookup) allProve() bool {
	for _, c := range l.calls {
		for i := range c.replies {
			if c.replies[i].Only != l.only {
				return false
			}
		}
	}
	return true
}

func (l *lookup) end() {
	if !l.ended {
		l.ended = true
		close(l.done)
	}
}

// silent returns the number of peers that were asked and have not replied.
func (l *lookup) silent() int {
	n := 0
	for _, c := range l.calls {
		n += len(c.waiting)
	}
	return n
}

// origin returns the result of the lookup.
func (l *lookup) origin() Origin {
	result := Origin{Source: SourceNone, Silent: l.silent()}
	for _, c := range l.calls {
		result.Asked += len(c.peers)
	}
	switch {
	case l.found != nil:
		result.Source, result.Software, result.Peer = SourcePeer, l.found.Record.Software, l.found.peer
		result.Age = time.Duration(l.found.AgeMs) * time.Millisecond
	case l.proof != nil:
		result.Source, result.Software, result.Peer = SourceProof, l.proof.Only, l.proof.peer
	}
	return result
}
