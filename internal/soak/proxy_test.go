package soak

import (
	"net"
	"slices"
	"sync"
	"time"
)

// A proxyMode is how a proxy treats the bytes that it relays.
type proxyMode int

// The modes, in the order in which a seed draws from them.
const (
	proxyPass      proxyMode = iota // relay unchanged
	proxySilent                     // block both directions
	proxyBlockBack                  // block the direction back to the caller
	proxyDelay                      // delay the bytes of each read
	proxyResetting                  // reset each connection
	proxyModes                      // number of modes
)

const (
	// proxyDelayTime is the delay of each read in proxyDelay.
	proxyDelayTime = 60 * time.Millisecond
	// proxyBuffer is the maximum number of bytes of a read.
	proxyBuffer = 32 << 10
)

// String returns the name of a mode.
func (m proxyMode) String() string {
	return [...]string{"pass", "silent", "mute back", "delay", "resetting"}[m]
}

// A proxy relays TCP connections on loopback to one address.
type proxy struct {
	listener net.Listener
	target   string
	// rewrite, if set, replaces the bytes of each read from the caller.
	rewrite func(content []byte) []byte
	// link limits the direction back to the caller, over all connections.
	link rateLimiter

	mu      sync.Mutex
	mode    proxyMode
	changed chan struct{} // closed when the mode changes
	conns   map[net.Conn]bool
}

// newProxy starts a proxy on a free port.
func newProxy(to string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: to, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.run()
	return p, nil
}

// set changes the mode.
func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
	if mode == proxyResetting {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

// currentMode returns the mode, and a channel that is closed when it changes.
func (p *proxy) currentMode() (proxyMode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// run accepts connections until the proxy is closed.
func (p *proxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// serve relays one connection.
func (p *proxy) serve(conn net.Conn) {
	if mode, _ := p.currentMode(); mode == proxyResetting {
		reset(conn)
		return
	}
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(conn)
		return
	}
	p.track(conn, true)
	defer p.track(conn, false)
	var group sync.WaitGroup
	group.Go(func() { p.relay(upstream, conn, p.rewriteRequest, proxySilent) })
	group.Go(func() { p.relay(conn, upstream, p.link.pass, proxySilent, proxyBlockBack) })
	group.Wait()
}

// track adds a connection to the open ones, or removes it.
func (p *proxy) track(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = true
		return
	}
	delete(p.conns, conn)
}

// rewriteRequest applies rewrite to bytes from the caller.
func (p *proxy) rewriteRequest(content []byte) []byte {
	if p.rewrite == nil {
		return content
	}
	return p.rewrite(content)
}

// relay relays one direction of a connection through pass. It waits while the mode is one
// of blocked.
func (p *proxy) relay(to, from net.Conn, pass func([]byte) []byte, blocked ...proxyMode) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		p.await(blocked)
		if n > 0 {
			if _, err := to.Write(pass(buffer[:n])); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// await waits until the mode is none of blocked.
func (p *proxy) await(blocked []proxyMode) {
	for {
		mode, changed := p.currentMode()
		if mode == proxyDelay {
			time.Sleep(proxyDelayTime)
		}
		if !slices.Contains(blocked, mode) {
			return
		}
		<-changed
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// close stops the proxy and resets its connections.
func (p *proxy) close() {
	p.set(proxyResetting)
	_ = p.listener.Close()
}
