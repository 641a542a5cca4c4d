package gateway

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/holders"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/telemetry"
)

const (
	// gossipEvery is how often peers are told.
	gossipEvery = 150 * time.Millisecond
	// gossipPeers is how many are told each time: a router's traffic does not
	// grow with the fleet.
	gossipPeers = 8
	// gossipMembers is how many members a message names.
	gossipMembers = 12
	// gossipBytes is how much is sent to peers in a second. As much comes from
	// them, on average: together what letter 1 allows a node.
	gossipBytes = 5000
	// membersEvery is after how many messages one names members.
	membersEvery = 8
	// datagramHead is what the headers of a datagram take.
	datagramHead = 28
	// gossipPrompts is how many prompts a message tells; what is beyond that is
	// not told.
	gossipPrompts = 24
	maxMessage    = 16 << 10
	// rejoinEvery is how often a router that hears nobody looks the others up.
	rejoinEvery = 5 * time.Second
	// registerEvery is how often a router's own entry is written anew.
	registerEvery = 10 * time.Minute
)

// peerLimits bound what is kept of the peers.
var peerLimits = peers.Limits{Fresh: time.Second, Forget: 3 * time.Second, Members: 1024}

// A gossip is the exchange of messages with the other routers of the fleet.
type gossip struct {
	self    netip.AddrPort // invalid: there is no gossip
	vm      ryeford.VMID
	routers ryeford.RouterList
	started int64 // nanoseconds since 1970
	table   *peers.Table

	configuration *configuration
	roster        *roster.Roster
	holders       *holders.Map
	loads         *loads
	log           log.Logger
	metrics       *telemetry.Set

	mu      sync.Mutex
	prompts []peers.Prompt // to be told
}

// addPrompt notes a prompt that the peers are to be told of.
func (p *gossip) addPrompt(endpoint ryeford.EndpointID, parts []ryeford.PromptPart) {
	prompt := peers.Prompt{Endpoint: endpoint}
	for _, part := range parts {
		prompt.Parts = append(prompt.Parts, part.ID)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.prompts) < gossipPrompts {
		p.prompts = append(p.prompts, prompt)
	}
}

// run talks with the peers until ctx ends.
func (p *gossip) run(ctx context.Context) error {
	if !p.self.IsValid() {
		return nil
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.self))
	if err != nil {
		return &ListenError{Address: p.self, Err: err}
	}
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	group.Go(func() error { return p.listen(ctx, conn) })
	group.Go(func() error { return p.tell(ctx, conn) })
	group.Go(func() error { return p.lookUp(ctx) })
	return group.Wait()
}

// lookUp enters the router into the platform's list of routers, and reads that
// list at the start and while nobody is heard.
func (p *gossip) lookUp(ctx context.Context) error {
	var registered time.Time
	ticker := time.NewTicker(rejoinEvery)
	defer ticker.Stop()
	for {
		now := time.Now()
		due := registered.IsZero() || now.Sub(registered) > registerEvery
		if due || p.table.Alive(now) == 0 {
			addresses, err := p.routers.Register(ctx, p.vm, p.self)
			_ = p.log.Log("decision", "look_up_peers", "found", len(addresses), "err", err)
			if err == nil {
				registered = now
				p.table.Add(time.Now(), addresses)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// listen takes the peers' messages.
func (p *gossip) listen(ctx context.Context, conn *net.UDPConn) error {
	buffer := make([]byte, maxMessage)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue // an earlier datagram found a port closed
		}
		var message peers.Message
		if err := cbor.Unmarshal(buffer[:n], &message); err != nil {
			p.metrics.Count("ryeford_gossip_dropped_total", "format")
			continue
		}
		p.hear(time.Now(), &message)
	}
}

// hear takes one message.
func (p *gossip) hear(now time.Time, message *peers.Message) {
	if !p.table.Hear(now, message) {
		return
	}
	p.renew(now, message)
	for _, prompt := range message.Prompts {
		if !p.roster.Knows(prompt.Endpoint) {
			continue
		}
		parts := make([]ryeford.PromptPart, 0, len(prompt.Parts))
		for _, id := range prompt.Parts {
			parts = append(parts, ryeford.PromptPart{ID: id})
		}
		p.holders.Add(now, prompt.Endpoint, parts)
	}
}

// renew renews the lease on the configuration by what a peer tells: that the
// version which this router has was the newest at a time.
func (p *gossip) renew(now time.Time, message *peers.Message) {
	if !message.Confirmed {
		return
	}
	current := p.configuration.current()
	switch {
	case current == nil || current.Version() < message.Version:
		p.configuration.noteNewer()
	case current.Version() == message.Version:
		p.configuration.lease.RenewTold(now, message.ConfirmedAt)
	}
}

// tell tells the peers from time to time.
func (p *gossip) tell(ctx context.Context, conn *net.UDPConn) error {
	ticker := time.NewTicker(gossipEvery)
	defer ticker.Stop()
	known, size := 0, 0
	budget := peers.NewBudget(time.Now(), gossipBytes)
	for sequence := uint64(1); ; sequence++ {
		now := time.Now()
		if alive := p.table.Alive(now); alive != known {
			_ = p.log.Log("decision", "peers", "alive", alive, "before", known)
			known = alive
		}
		targets := p.table.Targets(now, budget.Sends(now, size, gossipPeers))
		if content, err := cbor.Marshal(p.message(now, sequence, targets)); err == nil && len(targets) > 0 {
			size = len(content) + datagramHead
			for _, target := range targets {
				budget.Spend(size)
				_, _ = conn.WriteToUDPAddrPort(content, target)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// message returns what some peers are told now.
func (p *gossip) message(now time.Time, sequence uint64, targets []netip.AddrPort) *peers.Message {
	var prompts []peers.Prompt
	if len(targets) > 0 {
		p.mu.Lock()
		prompts, p.prompts = p.prompts, nil
		p.mu.Unlock()
	}
	var members []netip.AddrPort
	if sequence%membersEvery == 1 {
		members = p.table.Members(now, gossipMembers)
	}
	// Before the version: a version that comes in force between the two was not yet
	// the newest then, which is harmless, while an older one no longer was.
	confirmedAt, confirmed := p.configuration.lease.Confirmed()
	version := p.configuration.version()
	return &peers.Message{
		Version:     version,
		ConfirmedAt: confirmedAt,
		Confirmed:   confirmed,
		Sender:      p.self,
		Started:     p.started,
		Sequence:    sequence,
		Members:     members,
		Loads:       p.loads.own(),
		Prompts:     prompts,
	}
}
