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

// maxDatagram is the greatest size of a UDP datagram, in bytes, rounded up.
const maxDatagram = 64 << 10

// A LinkFault is what is wrong with a link.
type LinkFault struct {
	Cut     bool    `json:"cut"`      // both ways
	DelayMS int     `json:"delay_ms"` // each way, in milliseconds
	Lose    float64 `json:"lose"`     // part of the datagrams, 0 to 1
	Repeat  float64 `json:"repeat"`   // part of the datagrams, 0 to 1
}

// A link plays the network between routers and one agent: it relays UDP datagrams to
// one address and back, and loses, repeats, delays or cuts them. Delays of unequal
// length, which would change the order of datagrams, and a limit of bandwidth are not
// played.
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

// serve takes a fault, which replaces the whole one before. A link has nothing else
// to serve over HTTP.
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
			return // the datagram is lost, as on a network
		}
		l.pass(func() { _, _ = out.Write(data) })
	})
	return nil
}

// receive hands over what comes to a socket, until the socket is closed.
func receive(socket *net.UDPConn, handle func(data []byte, from netip.AddrPort)) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an error of one datagram, as when nothing listens at the far end
		}
		handle(slices.Clone(buf[:n]), from)
	}
}

// upstream returns the socket that stands for a caller.
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
		l.pass(func() { _, _ = l.socket.WriteToUDPAddrPort(data, caller) })
	})
	return out, nil
}

// pass sends a datagram as the fault allows.
func (l *link) pass(send func()) {
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
