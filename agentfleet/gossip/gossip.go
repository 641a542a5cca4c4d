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
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/decision"
	"github.com/ryeford/ryeford/agentfleet/template"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

const (
	// fanout is to how many random peers a process passes a change at once. Without
	// unit. 390 routers and 880 agents are
	// reached in four rounds (docs/CAPACITY.md, "A change in force within 9 s").
	fanout = 8

	// PullTimeout bounds how long a read of templates or of a plan from a peer makes no
	// progress (package transfer).
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
func Receive(ctx context.Context, conn *transport.Conn, handle func(*wire.Gossip)) {
	for {
		data, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		var m wire.Gossip
		if wire.Unmarshal(data, &m) != nil {
			continue
		}
		handle(&m)
	}
}

// A Puller reads from a peer while the peer's messages go on being taken, one read at a
// time. The zero Puller is ready to use.
type Puller struct {
	mu      sync.Mutex
	running bool
	next    func() // begun once the read that runs has ended; nil if there is none
}

// Start begins a read. If one runs, the new one follows it, in place of another that would.
func (p *Puller) Start(pull func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = pull
	if p.running {
		return
	}
	p.running = true
	go p.run()
}

// run makes the reads until none follows.
func (p *Puller) run() {
	for pull := p.takeNext(); pull != nil; pull = p.takeNext() {
		pull()
	}
}

// take returns the read that follows. Without one, run has ended.
func (p *Puller) takeNext() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	pull := p.next
	p.next = nil
	p.running = pull != nil
	return pull
}

// PullNewer reads the templates up to a revision from a peer, unless they are known by now.
func PullNewer(ctx context.Context, conn *transport.Conn, book *template.Book, revision int64) {
	if revision > book.Revision() {
		PullTemplates(ctx, conn, book)
	}
}

// maxDeltaSize is how many bytes of templates, encoded, a Delta holds at most, unless one
// alone is larger: half of what package wire takes as a message.
const maxDeltaSize = 4 << 20

// NewDelta returns the answer to a pull: the templates of a book above a revision, or those
// of them that changed first and fit into a message.
func NewDelta(book *template.Book, since int64) *wire.Delta {
	revision, templates := book.Since(since)
	count := countFitting(templates, maxDeltaSize)
	if count == len(templates) {
		return &wire.Delta{Revision: revision, Templates: templates}
	}
	return &wire.Delta{Revision: templates[count-1].Revision, Templates: templates[:count], More: true}
}

// fitting returns how many of the first templates have so many bytes together, and 1 if the
// first is larger.
func countFitting(templates []ryeford.Template, bytes int) int {
	size := 0
	for i := range templates {
		data, err := wire.Marshal(&templates[i])
		if err != nil {
			return max(1, i) // not possible: a Template holds numbers, strings and times
		}
		if size += len(data); size > bytes {
			return max(1, i)
		}
	}
	return len(templates)
}

// PullTemplates reads the templates that a book lacks from a peer, in parts if they are
// many, and puts them in force together. It reports the peer's revision, and whether the
// peer answered. A failure needs no repeat: a message that shows templates to be missing
// comes again.
func PullTemplates(ctx context.Context, conn *transport.Conn, book *template.Book) (int64, bool) {
	from := book.Revision()
	var templates []ryeford.Template
	for revision := from; ; {
		m, err := conn.Fetch(ctx, &wire.Message{Pull: &wire.Pull{Revision: revision}}, PullTimeout)
		if err != nil || m.Delta == nil {
			return 0, false
		}
		templates = append(templates, m.Delta.Templates...)
		if !m.Delta.More {
			book.Apply(from, m.Delta.Revision, templates)
			return m.Delta.Revision, true
		}
		if m.Delta.Revision <= revision {
			return 0, false // a part that brings nothing would be asked for without end
		}
		revision = m.Delta.Revision
	}
}
