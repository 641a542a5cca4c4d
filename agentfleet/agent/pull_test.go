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

// Properties of a slow link.
const (
	packetInterval = 4 * time.Millisecond // between two packets: at most 363 KB/s with packets of 1,452 bytes
	maxPackets     = 64                   // in the queue; further packets are dropped
	transferSize   = 1500 << 10           // bytes; the transfer takes 4.2 s or more, which exceeds gossip.PullTimeout
)

// slowLink relays packets between one dialer and a listener. It forwards the listener's
// packets at packetInterval. It returns the address to dial.
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

// dialSlow returns a connection over a slow link to a router that answers each stream with
// a message.
func dialSlow(t *testing.T, answer *wire.Message) *transport.Conn {
	t.Helper()
	return dialRouter(t, slowLink, func(conn *transport.Conn) {
		conn.Serve(context.Background(), func(s *transport.Stream, _ *wire.Message) { s.Reply(answer) })
	})
}

// dialRouter returns a connection to a router. serve serves the router's end of it. link
// maps the address of the router's listener to the address to dial.
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

// largeDelta returns a delta of transferSize bytes.
func largeDelta() *wire.Delta {
	delta := &wire.Delta{Revision: 1}
	for size := 0; size < transferSize; size += 64 {
		name := fmt.Sprintf("%064d", size)
		delta.Templates = append(delta.Templates, ryeford.Template{Account: "bank", Name: name, Revision: 1})
	}
	return delta
}

// TestPullTemplatesSlowLink checks that a pull of templates succeeds on a slow link,
// although it takes longer than gossip.PullTimeout.
func TestPullTemplatesSlowLink(t *testing.T) {
	t.Parallel()
	conn := dialSlow(t, &wire.Message{Delta: largeDelta()})
	cache := template.NewCache()
	start := time.Now()
	revision, ok := gossip.PullTemplates(t.Context(), conn, cache)
	assert.Assert(t, ok, "after %s", time.Since(start))
	assert.Equal(t, revision, int64(1))
	assert.Equal(t, cache.Revision(), int64(1))
	assert.Assert(t, time.Since(start) > gossip.PullTimeout)
}

// TestPullPlanSlowLink checks the same for a pull of a plan.
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
		plan:      plan.NewTracker(),
		decisions: decision.NewLog(log.NewNopLogger()),
	}
	start := time.Now()
	a.pullPlan(t.Context(), conn)
	assert.Assert(t, a.plan.Get() != nil, "after %s", time.Since(start))
	assert.Equal(t, len(a.plan.Get().Assignments), len(next.Assignments))
	assert.Assert(t, time.Since(start) > gossip.PullTimeout)
}

// TestPullTemplatesInParts pulls more templates than fit into one message: all must be
// received, and the cache must not have the new revision without all of them.
func TestPullTemplatesInParts(t *testing.T) {
	t.Parallel()
	const count, keys = 1400, 100 // 6.6 KB each, 9.2 MB in total
	templates := make([]ryeford.Template, count)
	for i := range templates {
		templates[i] = ryeford.Template{Account: "bank", Name: fmt.Sprintf("t%d", i), Revision: int64(i + 1)}
		for key := range keys {
			templates[i].KeyHashes = append(templates[i].KeyHashes, fmt.Sprintf("%032d%032d", i, key))
		}
	}
	a := testAgent(newBackend("endpoint-2.1", admission.Limits{}, 10))
	a.templateCache = template.NewCache()
	a.templateCache.Apply(0, count, templates)
	direct := func(_ *testing.T, listener netip.AddrPort) netip.AddrPort { return listener }
	conn := dialRouter(t, direct, func(conn *transport.Conn) {
		conn.Serve(context.Background(), func(s *transport.Stream, m *wire.Message) {
			a.serveStream(context.Background(), conn, s, m)
		})
	})
	cache := template.NewCache()
	changed := cache.Changed()
	revision, ok := gossip.PullTemplates(t.Context(), conn, cache)
	assert.Assert(t, ok)
	assert.Equal(t, revision, int64(count))
	<-changed
	assert.Equal(t, cache.Revision(), int64(count))
	_, got := cache.ChangedSince(0)
	assert.Equal(t, len(got), count)
}
