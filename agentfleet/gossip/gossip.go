// Package gossip is what routers and agents have in common in spreading new templates
// and plans: when a message is sent, to how many peers, under which budget, and how the
// templates that a message shows to be missing are read from its sender.
//
// A message is one datagram, which may be lost. It names the sender's newest revision
// and plan and carries neither, so that the next message makes up for a lost one. Below
// it lies the platform's table, which routers poll.
//
// The package owns no state: peers, book and plan belong to the process.
package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ryeford/ryeford/agentfleet/decision"
	"github.com/ryeford/ryeford/agentfleet/template"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

const (
	// fanout is to how many random peers a process passes a change at once. Without
	// unit. The size is arithmetic, not measured: 390 routers and 880 agents are
	// reached in four rounds (docs/CAPACITY.md, "A change in force within 9 s").
	fanout = 8

	// PullTimeout bounds how long a read of templates or of a plan from a peer makes no
	// progress (package transfer). Not measured.
	PullTimeout = 3 * time.Second
)

// A Loop sends gossip at the times when it is due.
type Loop struct {
	Interval  time.Duration // between messages while nothing changes
	Book      *template.Book
	Decisions *decision.Log
	// PlanChanged returns a channel that is closed at the next plan, or nil in a process
	// that passes no plans on.
	PlanChanged func() <-chan struct{}
	// Send sends a message to so many random peers.
	Send func(peers int)
}

// Run sends to one peer each interval, and to several at once after a new revision or a
// new plan, until ctx ends. It returns nil.
func (l *Loop) Run(ctx context.Context) error {
	ticks := time.Tick(l.Interval)
	changed := l.Book.Changed()
	for {
		select {
		case <-ticks:
			l.Send(1)
		case <-changed:
			changed = l.Book.Changed()
			l.Decisions.Record("", "decision", "in_force", "revision", l.Book.Revision())
			l.Send(fanout)
		case <-l.PlanChanged():
			l.Send(fanout)
		case <-ctx.Done():
			return nil
		}
	}
}

// Sample puts peers in a random order, in place, and returns the first n, or all if
// there are fewer.
func Sample[T any](peers []T, n int) []T {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// Send sends a message to peers, as far as the budget of control traffic allows.
// Messages that are not sent are not counted as lost: the next one says the same, and a
// connection that is lost is noticed by its streams.
func Send(control *transport.ControlLimiter, m *wire.Gossip, peers ...*transport.Conn) {
	data, err := wire.Marshal(m)
	if err != nil {
		return // not possible: a Gossip holds numbers and strings
	}
	for _, peer := range peers {
		if control.Allow(len(data)) {
			_ = peer.SendDatagram(data)
		}
	}
}

// Receive passes a peer's messages to take until the connection or ctx ends. A datagram
// that is no message is skipped: the peer is of the fleet, so it is of a later version.
func Receive(ctx context.Context, conn *transport.Conn, take func(*wire.Gossip)) {
	for {
		data, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		var m wire.Gossip
		if wire.Unmarshal(data, &m) != nil {
			continue
		}
		take(&m)
	}
}

// PullTemplates reads the templates that a book lacks from a peer. It reports the
// peer's revision, and whether the peer answered. A failure needs no repeat: a message
// that shows templates to be missing comes again.
func PullTemplates(ctx context.Context, conn *transport.Conn, book *template.Book) (int64, bool) {
	from := book.Revision()
	m, err := conn.Fetch(ctx, &wire.Message{Pull: &wire.Pull{Revision: from}}, PullTimeout)
	if err != nil || m.Delta == nil {
		return 0, false
	}
	book.Apply(from, m.Delta.Revision, m.Delta.Templates)
	return m.Delta.Revision, true
}
