package streamversion

import (
	"context"
	"net/netip"
	"time"

	"github.com/ryeford/ryeford"
)

// A Source is how the version of a stream is known.
type Source string

// The sources.
const (
	SourceOnly   Source = "only"   // the service has run no other version while the stream may have lived
	SourceRecord Source = "record" // this router keeps a record
	SourcePeer   Source = "peer"   // a peer keeps a record
	SourceProof  Source = "proof"  // a peer knows that the service has run no other version
	SourceStore  Source = "store"  // the platform's store holds a record, or no other version of the service
	SourceNone   Source = "none"   // it is unknown
)

// An Origin is what is known of the version that began a stream.
type Origin struct {
	Software ryeford.SoftwareVersion // unknown if Source is SourceNone
	Source   Source
	Peer     netip.AddrPort // that knew it, or invalid
	// Age is the time since the record was written or last read.
	Age time.Duration
	// Asked and Silent are the numbers of peers that were asked and that did not reply.
	Asked, Silent int
}

// A Stream is the stream of one request. Its methods must be called by one goroutine.
type Stream struct {
	tracker    *Tracker
	key        Key
	service    string
	constraint Constraint

	// Guarded by Tracker.mu.
	attempt  uint32
	replicas []netip.AddrPort
	call     *call         // by which the newest record was sent, or nil
	replied  chan struct{} // holds one entry after a reply to it
	sent     []ryeford.SoftwareVersion
}

// New returns the stream that a request may begin.
func (t *Tracker) New(request ryeford.RequestID, serviceName string, account ryeford.AccountID) *Stream {
	return &Stream{tracker: t, key: NewKey(request, serviceName, account), service: serviceName, replied: make(chan struct{}, 1)}
}

// Constraint returns which endpoints may write the stream's next event.
func (s *Stream) Constraint() Constraint { return s.constraint }

// Preferred returns the version that a new stream should begin at, since peers keep a record of it from an earlier
// attempt, or false if any will do.
func (s *Stream) Preferred() (ryeford.SoftwareVersion, bool) {
	if s.constraint.begun || len(s.sent) == 0 {
		return "", false
	}
	return s.sent[len(s.sent)-1], true
}

// Sending must be called right before a request is sent to an endpoint that runs a version. It sends the record to
// peers, so that they have confirmed it by the time of the first event.
func (s *Stream) Sending(software ryeford.SoftwareVersion) {
	if s.constraint.begun {
		return
	}
	if now := s.tracker.now(); !s.isOnly(now, software) {
		s.sendRecord(now, software)
	}
}

// isOnly reports whether every router that is in touch can prove that the stream has begun at a version, and the
// platform's store too.
func (s *Stream) isOnly(now time.Time, software ryeford.SoftwareVersion) bool {
	only, ok := s.tracker.history.OnlyStored(now, s.service)
	return ok && only.Same(software)
}

// sendRecord sends the record of an attempt to peers, unless they have it.
func (s *Stream) sendRecord(now time.Time, software ryeford.SoftwareVersion) {
	if n := len(s.sent); n > 0 && s.sent[n-1] == software {
		return
	}
	s.sent = append(s.sent, software)
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	s.tracker.store(now, s, software, s.signalReply)
}

func (s *Stream) signalReply() {
	select {
	case s.replied <- struct{}{}:
	default: // the last one is not handled yet
	}
}

// An UnconfirmedError reports that a stream can't begin at an endpoint, because peers may keep a record by which it
// began at another version.
type UnconfirmedError struct{}

// Error implements error.
func (*UnconfirmedError) Error() string {
	return "peers may know another software version for this stream"
}

// Begin must be called right before the first event is passed on. It waits until a peer has confirmed the record. The
// error is an *UnconfirmedError, or that of ctx.
func (s *Stream) Begin(ctx context.Context, software ryeford.SoftwareVersion) error {
	if s.constraint.begun {
		return nil
	}
	t := s.tracker
	now := t.now()
	if len(s.sent) == 0 && s.isOnly(now, software) {
		s.constraint = BegunBy(software)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.running[s] = true
		return nil
	}
	s.sendRecord(now, software) // several versions may serve since the request was sent
	if err := s.awaitConfirmed(ctx); err != nil {
		return err
	}
	s.constraint = BegunBy(software)
	t.onBegun(Begun{Key: s.key, Software: software})
	return nil
}

// awaitConfirmed waits until enough peers have confirmed the newest record.
func (s *Stream) awaitConfirmed(ctx context.Context) error {
	replaces := len(s.sent) > 1
	limit := confirmTimeout
	if replaces {
		limit = replaceTimeout
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for !s.confirmed(replaces) {
		select {
		case <-s.replied:
		case <-timer.C:
			if replaces {
				return &UnconfirmedError{}
			}
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// confirmed reports whether a peer has confirmed the newest record, or all of them if it replaces another one.
func (s *Stream) confirmed(all bool) bool {
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	s.adoptProofs()
	return len(s.call.waiting) == 0 || !all && len(s.call.replies) > 0
}

// adoptProofs lets the History use what peers have proven. tracker.mu is held.
func (s *Stream) adoptProofs() {
	for _, r := range s.call.replies {
		if r.Only.Known() {
			s.tracker.history.Adopt(s.tracker.now(), s.service, r.Only)
		}
	}
}

// End must be called when the request has ended.
func (s *Stream) End() {
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	delete(s.tracker.running, s)
}
