package agent

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/decision"
	"github.com/ryeford/ryeford/agentfleet/gossip"
	"github.com/ryeford/ryeford/agentfleet/plan"
	"github.com/ryeford/ryeford/agentfleet/template"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/settings"
)

// A narrow link that a test's packets pass.
const (
	packetInterval = 4 * time.Millisecond // between two packets: at most 363 KB/s of 1,452 bytes each
	maxPackets     = 64                   // that wait; the others are lost
	transferSize   = 1500 << 10           // takes longer than gossip.PullTimeout: 4.2 s at least
)

// narrowLink relays packets between one dialer and a listener's address, those of the
// listener one by one each packetTime. It returns the address to dial.
func slowLink(t *testing.T, listener netip.AddrPort) netip.AddrPort {
	t.Helper()
	near, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	far, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(listener))
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	var dialer atomic.Pointer[netip.AddrPort]
	go func() {
		packet := make([]byte, 2048)
		for {
			n, from, err := near.ReadFromUDPAddrPort(packet)
			if err != nil {
				return // the test has ended
			}
			dialer.Store(&from)
			_, _ = far.Write(packet[:n]) // a link may lose packets
		}
	}()
	queue := make(chan []byte, maxPackets)
	go func() {
		defer close(queue)
		for {
			packet := make([]byte, 2048)
			n, err := far.Read(packet)
			if err != nil {
				return // the test has ended
			}
			select {
			case queue <- packet[:n]:
			default:
			}
		}
	}()
	go func() {
		for packet := range queue {
			time.Sleep(packetInterval)
			_, _ = near.WriteToUDPAddrPort(packet, *dialer.Load()) // a link may lose packets
		}
	}()
	return near.LocalAddr().(*net.UDPAddr).AddrPort()
}

// dialNarrow returns a connection over a narrow link to a router that answers each stream
// with a message.
func dialSlow(t *testing.T, answer *wire.Message) *transport.Conn {
	t.Helper()
	return dialRouter(t, slowLink, func(conn *transport.Conn) {
		conn.Serve(context.Background(), func(s *transport.Stream, _ *wire.Message) { s.Reply(answer) })
	})
}

// dialRouter returns a connection to a router, whose end is given to serve. link returns
// the address to dial for that of the router's listener.
func dialRouter(t *testing.T, link func(*testing.T, netip.AddrPort) netip.AddrPort, serve func(*transport.Conn)) *transport.Conn {
	t.Helper()
	authority, err := transport.NewAuthority()
	assert.NilError(t, err)
	router, err := authority.Issue("router-1")
	assert.NilError(t, err)
	routerTLS, err := transport.TLSConfig(authority.Certificate(), router)
	assert.NilError(t, err)
	agent, err := authority.Issue("endpoint-1")
	assert.NilError(t, err)
	agentTLS, err := transport.TLSConfig(authority.Certificate(), agent)
	assert.NilError(t, err)
	options := &settings.DefaultAgent().Transport
	loopback := netip.MustParseAddr("127.0.0.1")
	listener, err := transport.Listen(netip.AddrPortFrom(loopback, 0), routerTLS, options)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept(context.Background())
		if err != nil {
			return // the test has ended
		}
		serve(conn)
	}()
	dialer, err := transport.NewDialer(loopback, agentTLS, options)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = dialer.Close() })
	conn, err := dialer.Dial(t.Context(), link(t, listener.Address()))
	assert.NilError(t, err)
	return conn
}

// largeDelta returns templates of linkBytes.
func largeDelta() *wire.Delta {
	delta := &wire.Delta{Revision: 1}
	for size := 0; size < transferSize; size += 64 {
		name := fmt.Sprintf("%064d", size)
		delta.Templates = append(delta.Templates, ryeford.Template{Account: "bank", Name: name, Revision: 1})
	}
	return delta
}

// TestPullTemplatesNarrow checks that templates come over a link on which they take longer
// than gossip.PullTimeout.
func TestPullTemplatesSlowLink(t *testing.T) {
	t.Parallel()
	conn := dialSlow(t, &wire.Message{Delta: largeDelta()})
	book := template.NewBook()
	start := time.Now()
	revision, ok := gossip.PullTemplates(t.Context(), conn, book)
	assert.Assert(t, ok, "after %s", time.Since(start))
	assert.Equal(t, revision, int64(1))
	assert.Equal(t, book.Revision(), int64(1))
	assert.Assert(t, time.Since(start) > gossip.PullTimeout)
}

// TestPullPlanNarrow checks the same of this VM's part of a plan.
func TestPullPlanSlowLink(t *testing.T) {
	t.Parallel()
	next := &ryeford.Plan{Epoch: 1, Sequence: 1}
	for size := 0; size < transferSize; size += 64 {
		reason := fmt.Sprintf("%064d", size)
		next.Assignments = append(next.Assignments, ryeford.Assignment{Engine: "endpoint-1.1", Reason: reason})
	}
	conn := dialSlow(t, &wire.Message{Plan: next})
	a := &Agent{
		settings:  settings.DefaultAgent(),
		plan:      plan.NewCurrent(),
		decisions: decision.NewLog(log.NewNopLogger()),
	}
	start := time.Now()
	a.pullPlan(t.Context(), conn)
	assert.Assert(t, a.plan.Get() != nil, "after %s", time.Since(start))
	assert.Equal(t, len(a.plan.Get().Assignments), len(next.Assignments))
	assert.Assert(t, time.Since(start) > gossip.PullTimeout)
}

// TestPullTemplatesLarge has an agent read more templates from another one than fit into a
// message. It fails if they do not all come, or the book has a revision without all of them.
func TestPullTemplatesInParts(t *testing.T) {
	t.Parallel()
	const count, keys = 1400, 100 // some 6.6 KB each, 9.2 MB together
	templates := make([]ryeford.Template, count)
	for i := range templates {
		templates[i] = ryeford.Template{Account: "bank", Name: fmt.Sprintf("t%d", i), Revision: int64(i + 1)}
		for key := range keys {
			templates[i].KeyHashes = append(templates[i].KeyHashes, fmt.Sprintf("%032d%032d", i, key))
		}
	}
	a := testAgent(newBackend("endpoint-2.1", admission.Limits{}, 10))
	a.book = template.NewBook()
	a.book.Apply(0, count, templates)
	direct := func(_ *testing.T, listener netip.AddrPort) netip.AddrPort { return listener }
	conn := dialRouter(t, direct, func(conn *transport.Conn) {
		conn.Serve(context.Background(), func(s *transport.Stream, m *wire.Message) {
			a.serveStream(context.Background(), conn, s, m)
		})
	})
	book := template.NewBook()
	changed := book.Changed()
	revision, ok := gossip.PullTemplates(t.Context(), conn, book)
	assert.Assert(t, ok)
	assert.Equal(t, revision, int64(count))
	<-changed
	assert.Equal(t, book.Revision(), int64(count))
	_, got := book.Since(0)
	assert.Equal(t, len(got), count)
}
