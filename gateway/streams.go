package gateway

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/giveup"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/gateway/streamstore"
	"github.com/ryeford/ryeford/gateway/streamversion"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/settings"
)

// streamMemoryFactor is how long the version of a stream is remembered at least, as a multiple of the longest timeout of
// a route: a caller may take a stream up when its attempt has reached the timeout, and waits for up to that again.
const streamMemoryFactor = 2

// A streams holds what is known of the software versions that began streams, and sends it to peers.
type streams struct {
	history *streamversion.History
	tracker *streamversion.Tracker
	conn    atomic.Pointer[net.UDPConn] // the socket of gossip; nil before it is open
	metrics *telemetry.Set

	gauges versionGauges

	recorder *streamstore.Recorder // nil without a store

	// Datagrams and bytes that were sent since the last call of takeSent.
	datagrams, bytes atomic.Int64
}

// newStreams returns a streams. If store is nil, what is known of streams is lost with the last router.
func newStreams(s *settings.Gateway, b *balancer, store ryeford.StreamStore, logger log.Logger, metrics *telemetry.Set) *streams {
	result := &streams{metrics: metrics, gauges: versionGauges{metrics: metrics}}
	result.history = b.versions
	options := streamversion.Options{
		Self: s.Peers.AddrPort, Limits: streamLimits(s), History: result.history,
		Ranked: b.peers.Ranked, Send: result.send, Now: clock.Now,
	}
	if store != nil {
		result.history.UseStore()
		result.recorder = streamstore.New(streamstore.Options{
			Store: store, VM: s.VM, History: result.history, Now: clock.Now, Log: logger, Metrics: metrics,
			Routers: func(now time.Time) int { return 1 + b.peers.Alive(now) },
		})
		options.OnBegun, options.Restore = result.recorder.Add, result.recorder.Restore
	}
	result.tracker = streamversion.NewTracker(options)
	return result
}

func streamLimits(s *settings.Gateway) streamversion.Limits {
	return streamversion.Limits{
		Memory: s.Routing.StreamMemory, Settle: s.Bounds.Drain, Restart: s.Bounds.Contact, Records: s.Routing.StreamRecords,
	}
}

// run writes to the store until ctx is done.
func (s *streams) run(ctx context.Context) error {
	if s.recorder == nil {
		return nil
	}
	return s.recorder.Run(ctx)
}

// update records the software versions of the endpoints, and expires what is kept of streams. followed means that no
// endpoint has come and gone unseen since the last update.
func (s *streams) update(now time.Time, endpoints *roster.Roster, followed bool) {
	versions := endpoints.Software()
	s.gauges.set(versions)
	s.history.List(now, versions, followed)
	s.tracker.Sweep(now)
}

// setConn sets the socket by which datagrams are sent to peers.
func (s *streams) setConn(conn *net.UDPConn) { s.conn.Store(conn) }

// send sends a datagram to a peer.
func (s *streams) send(to netip.AddrPort, datagram []byte) {
	conn := s.conn.Load()
	if conn == nil {
		return
	}
	s.datagrams.Add(1)
	s.bytes.Add(int64(len(datagram)))
	s.metrics.Add("ryeford_stream_sent_bytes_total", "", len(datagram))
	if _, err := conn.WriteToUDPAddrPort(datagram, to); err != nil {
		s.metrics.Count("ryeford_gossip_dropped_total", droppedSend)
	}
}

// takeSent returns what was sent since the last call.
func (s *streams) takeSent() (datagrams, bytes int) {
	return int(s.datagrams.Swap(0)), int(s.bytes.Swap(0))
}

// takeUp finds out which software version began the stream that the caller takes up, if it takes one up. The error
// is a *ryeford.NotRunError.
func (x *exchange) takeUp(ctx context.Context) error {
	f, q := x.forwarder, x.request
	if q.meta.LastEvent == "" {
		return nil
	}
	asked := clock.Now()
	origin := x.stream.Resume(ctx, q.meta.Resumes, q.accountID())
	f.metrics.Count("ryeford_streams_taken_up_total", string(origin.Source))
	_ = f.log.Log("decision", "take_up", "request", q.meta.ID, "route", q.rule.Name, "account", q.accountID(), "service", q.service,
		"resumes", q.meta.Resumes, "after", q.meta.LastEvent, "software", origin.Software, "known_by", origin.Source, "peer", origin.Peer,
		"age", roundTime(origin.Age), "asked", origin.Asked, "silent", origin.Silent, "took", roundTime(clock.Since(asked)))
	if !origin.Software.Known() {
		return giveup.NotRun(ryeford.ReasonVersionUnknown)
	}
	return nil
}

// bindStream makes the first event of an attempt wait until the fleet knows which software version writes it.
func (x *exchange) bindStream(to *roster.Entry) {
	if x.stream == nil {
		return
	}
	software := x.forwarder.softwareOf(to)
	x.relay.onFirstEvent = func(ctx context.Context) error { return x.stream.Begin(ctx, software) }
}

// recordSoftware tells peers, right before the request is sent, which software version may begin the stream.
func (x *exchange) recordSoftware(to *roster.Entry) {
	if x.stream != nil {
		x.stream.Sending(x.forwarder.softwareOf(to))
	}
}

// addStream adds to a query which endpoints may write the next event of the request's stream. It reports whether
// others may as well if none of these is left.
func (x *exchange) addStream(query *endpointQuery) (preferred bool) {
	if x.stream == nil {
		return false
	}
	query.stream = x.stream.Constraint()
	if query.stream.Begun() {
		return false
	}
	software, preferred := x.stream.Preferred()
	if preferred {
		query.stream = streamversion.BegunBy(software)
		return true
	}
	query.stream = x.forwarder.streams.history.NewStreams(clock.Now(), query.service)
	return false
}

// noEndpointReason returns why there is no endpoint for an attempt.
func (x *exchange) noEndpointReason() ryeford.Reason {
	if x.stream != nil && x.stream.Constraint().Begun() {
		return ryeford.ReasonVersionUnavailable
	}
	return ryeford.ReasonNoCandidate
}
