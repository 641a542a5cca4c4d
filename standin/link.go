package standin

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford/settings"
)

// maxDatagram is the maximum size of a UDP datagram in bytes, rounded up.
const maxDatagram = 64 << 10

// A LinkFault is a simulated fault of a link.
type LinkFault struct {
	Cut     bool    `json:"cut"`      // drops all datagrams, in both directions
	DelayMS int     `json:"delay_ms"` // in each direction, in milliseconds
	Lose    float64 `json:"lose"`     // fraction of the datagrams that are lost, 0 to 1
	Repeat  float64 `json:"repeat"`   // fraction of the datagrams that are sent twice, 0 to 1
}

// A link plays the network between routers and one agent. It relays UDP datagrams to one address
// and back, and loses, repeats, delays or drops them. It doesn't play jitter, which would reorder
// datagrams, or a limited bandwidth.
type link struct {
	socket *net.UDPConn
	to     netip.AddrPort

	mu      sync.Mutex
	fault   LinkFault
	callers map[netip.AddrPort]*net.UDPConn
}

func newLink(s *settings.StandinLink) (*link, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Address.AddrPort))
	if err != nil {
		return nil, &Error{Op: "listen", Err: err}
	}
	return &link{
		socket:  socket,
		to:      s.To.AddrPort,
		callers: make(map[netip.AddrPort]*net.UDPConn),
	}, nil
}

// serve replaces the fault. A link serves no other HTTP requests.
func (l *link) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != PathFault {
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	var fault LinkFault
	if !readJSON(ctx, &fault) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

func (l *link) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	receive(l.socket, func(data []byte, caller netip.AddrPort) {
		out, err := l.upstream(caller)
		if err != nil {
			return // the datagram is lost
		}
		l.relay(func() { _, _ = out.Write(data) })
	})
	return nil
}

// receive calls handle with each datagram that a socket receives, until the socket is closed.
func receive(socket *net.UDPConn, handle func(data []byte, from netip.AddrPort)) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an error of one datagram, such as when nothing listens at the remote address
		}
		handle(slices.Clone(buf[:n]), from)
	}
}

// upstream returns the socket from which a caller's datagrams are relayed.
func (l *link) upstream(caller netip.AddrPort) (*net.UDPConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if out, ok := l.callers[caller]; ok {
		return out, nil
	}
	out, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(l.to))
	if err != nil {
		return nil, &Error{Op: "dial", Err: err}
	}
	l.callers[caller] = out
	go receive(out, func(data []byte, _ netip.AddrPort) {
		l.relay(func() { _, _ = l.socket.WriteToUDPAddrPort(data, caller) })
	})
	return out, nil
}

// relay sends a datagram, subject to the fault.
func (l *link) relay(send func()) {
	l.mu.Lock()
	fault := l.fault
	l.mu.Unlock()
	if fault.Cut || rand.Float64() < fault.Lose {
		return
	}
	times := 1
	if rand.Float64() < fault.Repeat {
		times++
	}
	for range times {
		if fault.DelayMS == 0 {
			send()
			continue
		}
		time.AfterFunc(time.Duration(fault.DelayMS)*time.Millisecond, send)
	}
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.socket.Close()
	for _, out := range l.callers {
		_ = out.Close()
	}
}
