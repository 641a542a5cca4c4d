package gateway

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/loads"
	"github.com/ryeford/ryeford/gateway/overload"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/gateway/prefixcache"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/gateway/streamversion"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/internal/telemetry"
)

// A gossip sends this router's state to its peers over UDP, and merges theirs. Package peers decides
// what to send when, and how messages are evaluated.
//
// A lost datagram is not retransmitted: the next one replaces it.
type gossip struct {
	self    netip.AddrPort // invalid: gossip is disabled
	seeds   []netip.AddrPort
	vm      ryeford.VMID
	routers ryeford.RouterList
	started int64 // start of this process, in nanoseconds of its VM's monotonic clock
	table   *peers.Table
	startup *startup

	configuration *configuration
	endpoints     *endpointList
	roster        *roster.Roster
	prefixes      *prefixcache.Index
	loads         *loads.Table
	quarantine    *quarantineState
	overload      *overload.Table
	streams       *streams
	log           log.Logger
	metrics       *telemetry.Set

	implausibleLog rate.Sometimes

	// registered is when this router registered in the platform's list of routers, or nil. lookedUp is
	// whether it has queried that list.
	registered atomic.Pointer[time.Time]
	lookedUp   atomic.Bool

	// joiningPeers are peers whose process has just sent its first message.
	joiningPeers chan netip.AddrPort

	mu         sync.Mutex
	prompts    []peers.Prompt // for the next message
	parts      int            // total number of parts of these prompts
	partial    bool           // the last message did not contain all loads
	firstParts firstParts     // for the messages of a large fleet
}

// The reasons by which ryeford_gossip_dropped_total counts datagrams. They are counted but not logged,
// because their number is bounded only by the fleet's traffic.
const (
	droppedFormat = "format" // a message that can't be decoded
	droppedRead   = "read"   // the socket failed to receive
	droppedEncode = "encode" // this router's message can't be encoded
	droppedSend   = "send"   // the socket failed to send
)

// implausibleLogInterval is how often implausible figures of peers are logged at most. They are counted each time.
const implausibleLogInterval = 10 * time.Second

func (g *gossip) countDropped(reason string) { g.metrics.Count("ryeford_gossip_dropped_total", reason) }

// addPrompt adds a prompt that was sent to an endpoint to the next message, truncated to the parts
// that fit. expected is whether peers would have chosen the same endpoint: in a fleet whose messages
// report only part of the requests, such a prompt is omitted.
func (g *gossip) addPrompt(endpoint ryeford.EndpointID, parts []ryeford.PromptPart, expected bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.firstParts.add(endpoint, parts)
	if len(g.prompts) >= peers.MaxPrompts || expected && g.partial {
		return
	}
	prompt := peers.Prompt{Endpoint: endpoint}
	for _, part := range parts[:min(len(parts), peers.MaxPromptParts-g.parts)] {
		prompt.Parts = append(prompt.Parts, part.ID)
	}
	g.prompts = append(g.prompts, prompt)
	g.parts += len(prompt.Parts)
}

// run exchanges messages with the peers until ctx is done. The error is a *ListenError.
func (g *gossip) run(ctx context.Context) error {
	if !g.self.IsValid() {
		return nil
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(g.self))
	if err != nil {
		return &ListenError{Address: g.self, Err: err}
	}
	g.streams.setConn(conn)
	group, ctx := errgroup.WithContext(ctx)
	// Closing the connection unblocks receive, which then ignores the error.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	group.Go(func() error { return g.receive(ctx, conn) })
	group.Go(func() error { return g.send(ctx, conn) })
	group.Go(func() error { return g.lookUp(ctx) })
	return group.Wait()
}

// receive merges the peers' messages until ctx is done.
func (g *gossip) receive(ctx context.Context, conn *net.UDPConn) error {
	buffer := make([]byte, peers.MaxMessage)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// The socket may report that an earlier datagram was not delivered. Such errors must not
			// stop gossip or the process.
			g.countDropped(droppedRead)
			continue
		}
		g.receiveDatagram(buffer[:n])
	}
}

// receiveDatagram merges one datagram, and counts it if it is malformed.
func (g *gossip) receiveDatagram(datagram []byte) {
	if streamversion.IsMessage(datagram) {
		if !g.streams.tracker.Receive(datagram) {
			g.countDropped(droppedFormat)
		}
		return
	}
	var message peers.Message
	if err := cbor.Unmarshal(datagram, &message); err != nil {
		g.countDropped(droppedFormat)
		return
	}
	g.merge(clock.Now(), &message)
}

// merge merges a message, unless it is older than one that was received before.
func (g *gossip) merge(now time.Time, message *peers.Message) {
	newer, first := g.table.Receive(now, message)
	if !newer {
		return
	}
	if first {
		g.queueJoinReply(message.Sender)
	}
	g.endpoints.mergeWithheld(message)
	g.endpoints.mergeLeaving(now, message)
	g.endpoints.mergeDigest(message.Sender, message.List)
	g.configuration.evacuations.merge(message.Evacuations.Decode(), message.Sender.String())
	if message.Confirmed {
		g.configuration.mergePeerConfirmation(now, message.Sender, message.Version, message.ConfirmedAt)
	}
	g.loads.Merge(now, message.Reports)
	g.quarantine.merge(now, message)
	g.mergeServices(now, message)
	for _, prompt := range message.Prompts {
		if !g.roster.Has(prompt.Endpoint) {
			continue
		}
		parts := make([]ryeford.PromptPart, 0, len(prompt.Parts))
		for _, id := range prompt.Parts {
			parts = append(parts, ryeford.PromptPart{ID: id})
		}
		g.prefixes.Add(now, prompt.Endpoint, parts)
	}
}

// mergeServices merges a peer's figures of services, and counts those that are implausible.
func (g *gossip) mergeServices(now time.Time, message *peers.Message) {
	implausible := g.overload.Merge(now, message.Services)
	if implausible == 0 {
		return
	}
	g.metrics.Add("ryeford_implausible_figures_total", "", implausible)
	g.implausibleLog.Do(func() {
		_ = g.log.Log("decision", "implausible_figures", "peer", message.Sender, "figures", implausible, "err", "they count only up to a limit, or not at all")
	})
}

// queueJoinReply makes send reply to a peer that has just started and may have no data yet.
func (g *gossip) queueJoinReply(peer netip.AddrPort) {
	select {
	case g.joiningPeers <- peer:
	default: // the peer receives the data from another peer, or later
	}
}

// send sends a message every peers.Interval until ctx is done.
func (g *gossip) send(ctx context.Context, conn *net.UDPConn) error {
	ticker := time.NewTicker(peers.Interval)
	defer ticker.Stop()
	previous := 0
	g.table.Add(clock.Now(), g.seeds)
	schedule := peers.NewSchedule(clock.Now(), peers.BytesPerSecond)
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		now := clock.Now()
		alive := g.table.Alive(now)
		if alive != previous {
			_ = g.log.Log("decision", "peers", "alive", alive, "before", previous)
			previous = alive
		}
		schedule.RecordOther(g.streams.takeSent())
		full, brief := schedule.Next(now, alive)
		targets := g.table.Targets(now, full+brief)
		if full = min(full, len(targets)); full > 0 {
			g.sendTo(conn, targets[:full], g.message(now, sequence, schedule.Complete(alive)), schedule)
		}
		if len(targets) > full {
			g.sendTo(conn, targets[full:], g.briefMessage(now, sequence), schedule)
		}
		sequence = g.sendJoinReplies(ctx, conn, ticker.C, sequence, schedule)
	}
	return nil
}

// sendJoinReplies sends a message to each joining peer until the next round, and returns the sequence
// number of the last message.
func (g *gossip) sendJoinReplies(ctx context.Context, conn *net.UDPConn, next <-chan time.Time, sequence uint64, schedule *peers.Schedule) uint64 {
	for {
		select {
		case <-ctx.Done():
			return sequence
		case <-next:
			return sequence
		case peer := <-g.joiningPeers:
			sequence++
			now := clock.Now()
			message := g.message(now, sequence, schedule.Complete(g.table.Alive(now)))
			message.Leaving = g.roster.LeavingSince(time.Time{}, peers.MaxLeaving) // regardless of age: the peer has only the list
			message.Quarantined = g.quarantine.forJoining(now)
			g.sendTo(conn, []netip.AddrPort{peer}, message, schedule)
		}
	}
}

// sendTo sends a message to the target peers.
func (g *gossip) sendTo(conn *net.UDPConn, targets []netip.AddrPort, message *peers.Message, schedule *peers.Schedule) {
	content, err := cbor.Marshal(message)
	if err != nil {
		g.countDropped(droppedEncode)
		return
	}
	schedule.RecordSent(message, len(content), len(targets))
	for _, target := range targets {
		if _, err := conn.WriteToUDPAddrPort(content, target); err != nil {
			g.countDropped(droppedSend)
		}
	}
}
