// Package gossip implements the parts of the gossip protocol that routers and agents
// share: when a message is sent, to how many peers and within which bandwidth limit, and
// how a process pulls the templates that a message announces from its sender.
//
// A message is one datagram, which may be lost. It announces the sender's newest
// revision and plan without their contents, so the next message replaces a lost one. If
// gossip fails altogether, routers still poll the platform's table.
//
// The package has no state of its own: peers, cache and plan belong to the process.
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
	// fanout is the number of random peers to which a process sends a change immediately. It reaches
	// 390 routers and 880 agents in four rounds.
	fanout = 8

	// PullTimeout limits how long a pull of templates or of a plan may make no progress
	// (package transfer).
	PullTimeout = 3 * time.Second
)

// A Loop sends gossip messages periodically and after changes.
type Loop struct {
	Interval  time.Duration // between messages without a change
	Templates *template.Cache
	Decisions *decision.Log
	// PlanChanged returns a channel that is closed when the plan changes next, or nil in a
	// process that does not distribute plans.
	PlanChanged func() <-chan struct{}
	// Send sends a message to the given number of random peers.
	Send func(peers int)
}

// Run sends a message to one peer after each interval, and to fanout peers after a change
// of the revision or the plan, until ctx ends. It always returns nil.
func (l *Loop) Run(ctx context.Context) error {
	ticks := time.Tick(l.Interval)
	changed := l.Templates.Changed()
	for {
		select {
		case <-ticks:
			l.Send(1)
		case <-changed:
			changed = l.Templates.Changed()
			l.Decisions.Record("", "decision", "in_force", "revision", l.Templates.Revision())
			l.Send(fanout)
		case <-l.PlanChanged():
			l.Send(fanout)
		case <-ctx.Done():
			return nil
		}
	}
}

// Sample returns n random peers, or all if there are fewer. It shuffles peers in place.
func Sample[T any](peers []T, n int) []T {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// Send sends a message to peers within the limit for control traffic. It ignores
// failures: the next message repeats the contents, except Overflows, which are hints, and
// a lost connection is detected by the users of its streams.
func Send(control *transport.ControlLimiter, m *wire.Gossip, peers ...*transport.Conn) {
	data, err := wire.Marshal(m)
	if err != nil {
		return // unreachable: a Gossip has only numbers and strings
	}
	for _, peer := range peers {
		if control.Allow(len(data)) {
			_ = peer.SendDatagram(data)
		}
	}
}

// Receive calls handle with each message of a peer until the connection or ctx ends. It
// skips datagrams that it can't decode: peers are authenticated, so these come from a
// newer version.
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

// A Puller runs pulls from a peer in the background, one at a time, so that messages of
// the peer are processed in the meantime. The zero value is ready to use.
type Puller struct {
	mu      sync.Mutex
	running bool
	next    func() // runs after the current pull; may be nil
}

// Start runs a pull. While another pull runs, Start makes the new one the next and
// replaces an earlier next one.
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

// run runs pulls until there is no next one.
func (p *Puller) run() {
	for pull := p.takeNext(); pull != nil; pull = p.takeNext() {
		pull()
	}
}

// takeNext returns the next pull, or nil if run is to end.
func (p *Puller) takeNext() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	pull := p.next
	p.next = nil
	p.running = pull != nil
	return pull
}

// PullNewer pulls templates from a peer if the cache is older than a revision.
func PullNewer(ctx context.Context, conn *transport.Conn, cache *template.Cache, revision int64) {
	if revision > cache.Revision() {
		PullTemplates(ctx, conn, cache)
	}
}

// maxDeltaSize is the maximum size of the encoded templates in a Delta, in bytes, unless a
// single template is larger. It is half of the maximum message size of package wire.
const maxDeltaSize = 4 << 20

// NewDelta returns the answer to a pull: the templates of a cache that changed after a
// revision, or as many of the oldest of them as fit into a message.
func NewDelta(cache *template.Cache, since int64) *wire.Delta {
	revision, templates := cache.ChangedSince(since)
	count := countFitting(templates, maxDeltaSize)
	if count == len(templates) {
		return &wire.Delta{Revision: revision, Templates: templates}
	}
	return &wire.Delta{Revision: templates[count-1].Revision, Templates: templates[:count], More: true}
}

// countFitting returns how many of the first templates fit into the given number of bytes
// when encoded, but at least 1 if there are any.
func countFitting(templates []ryeford.Template, bytes int) int {
	size := 0
	for i := range templates {
		data, err := wire.Marshal(&templates[i])
		if err != nil {
			return max(1, i) // unreachable: a Template has only numbers, strings and times
		}
		if size += len(data); size > bytes {
			return max(1, i)
		}
	}
	return len(templates)
}

// PullTemplates pulls the templates that are newer than a cache from a peer, in several
// parts if necessary, and applies all parts together. It returns the peer's revision, and
// whether the pull succeeded. It does not retry after a failure: the next gossip message
// announces the revision again.
func PullTemplates(ctx context.Context, conn *transport.Conn, cache *template.Cache) (int64, bool) {
	from := cache.Revision()
	var templates []ryeford.Template
	for revision := from; ; {
		m, err := conn.Fetch(ctx, &wire.Message{Pull: &wire.Pull{Revision: revision}}, PullTimeout)
		if err != nil || m.Delta == nil {
			return 0, false
		}
		templates = append(templates, m.Delta.Templates...)
		if !m.Delta.More {
			cache.Apply(from, m.Delta.Revision, templates)
			return m.Delta.Revision, true
		}
		if m.Delta.Revision <= revision {
			return 0, false // without progress the loop would not end
		}
		revision = m.Delta.Revision
	}
}
