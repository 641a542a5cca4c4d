package soak

import (
	"net"
	"slices"
	"sync"
	"time"
)

// A proxyMode is what a proxy does to the bytes that pass.
type proxyMode int

// The modes. A seed draws from them by their numbers.
const (
	proxyPass      proxyMode = iota
	proxySilent              // both directions are held back
	proxyMuteBack            // the direction back to the caller is held back
	proxyDelay               // each read's bytes are delayed
	proxyResetting           // each connection is reset
	proxyModes               // how many there are
)

const (
	// proxyDelayTime is how long each read's bytes wait in proxyDelay.
	proxyDelayTime = 60 * time.Millisecond
	// proxyBuffer is how many bytes are read at once.
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
	// rewrite changes what goes to that address, if it is set. It is called with what one
	// read has returned.
	rewrite func(content []byte) []byte
	// link bounds the bytes a second in the direction back to the caller, of all
	// connections together.
	link rateLimiter

	mu      sync.Mutex
	mode    proxyMode
	changed chan struct{} // closed at the next change of mode
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

// now returns the mode, and a channel that is closed once it changes.
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
	group.Go(func() { p.relay(conn, upstream, p.link.pass, proxySilent, proxyMuteBack) })
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

// sent returns what is passed on of what a caller has sent.
func (p *proxy) rewriteRequest(content []byte) []byte {
	if p.rewrite == nil {
		return content
	}
	return p.rewrite(content)
}

// relay relays one direction of a connection, by way of pass. It holds back while the
// mode is one of held.
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

// await returns once the mode is none of held.
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

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	p.set(proxyResetting)
	_ = p.listener.Close()
}
