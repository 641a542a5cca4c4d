// Package endpoint sends requests to endpoints over HTTP/1.1: one request a
// connection at a time, each request once. It never repeats one on its own, and
// says of each failure whether the endpoint may have got the request.
//
// net/http's codec reads the answers; its client is not used, since it repeats
// requests on its own and takes any answer for the one that is due.
package endpoint

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ryeford/ryeford"
)

// Options are how a Pool keeps connections.
type Options struct {
	// Dial is how long a new connection may take.
	Dial time.Duration
	// Idle is how long a connection may rest where the endpoint does not say.
	Idle time.Duration
	// IdleMargin is taken off what an endpoint says.
	IdleMargin time.Duration
	// MaxIdle is how many resting connections are kept to one endpoint.
	MaxIdle int
}

// DefaultOptions returns the Options of a small router.
func DefaultOptions() Options {
	return Options{
		Dial:       400 * time.Millisecond,
		Idle:       4 * time.Second,
		IdleMargin: 700 * time.Millisecond,
		MaxIdle:    16,
	}
}

// A Pool holds the connections to all endpoints.
type Pool struct {
	protocol ryeford.Protocol
	options  Options

	mu   sync.Mutex
	idle map[ryeford.EndpointID][]*connection
}

// New returns an empty Pool.
func New(protocol ryeford.Protocol, options Options) *Pool {
	return &Pool{
		protocol: protocol,
		options:  options,
		idle:     make(map[ryeford.EndpointID][]*connection),
	}
}

const (
	readBuffer  = 4 << 10
	userTimeout = 3 * time.Second
)

// A connection is one connection to an endpoint.
type connection struct {
	net.Conn
	endpoint ryeford.EndpointID
	reader   *bufio.Reader
	idleFor  time.Duration
	restsTo  time.Time
	reused   bool
}

// take returns a resting connection that is still sound, or nil.
func (p *Pool) take(id ryeford.EndpointID) *connection {
	now := time.Now()
	for {
		p.mu.Lock()
		list := p.idle[id]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[id] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Before(c.restsTo) && c.silent() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

// put lets a connection rest, if nothing is left over on it.
func (p *Pool) put(c *connection) {
	if c.reader.Buffered() > 0 || c.idleFor <= 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.restsTo = time.Now().Add(c.idleFor)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.endpoint]) >= p.options.MaxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
}

// CloseIdle closes the resting connections to an endpoint.
func (p *Pool) CloseIdle(id ryeford.EndpointID) {
	p.mu.Lock()
	list := p.idle[id]
	delete(p.idle, id)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseExpired closes the connections that have rested for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.restsTo) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		clear(list[len(kept):])
		p.idle[id] = kept
		if len(kept) == 0 {
			delete(p.idle, id)
		}
	}
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, id ryeford.EndpointID, address netip.AddrPort) (*connection, error) {
	dialer := net.Dialer{Timeout: p.options.Dial, KeepAlive: -1, Control: setUserTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, &UnsentError{Err: err}
	}
	return &connection{
		Conn:     conn,
		endpoint: id,
		reader:   bufio.NewReaderSize(conn, readBuffer),
		idleFor:  p.options.Idle,
	}, nil
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of Linux
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// silent reports whether nothing has come on a resting connection: neither its
// end nor bytes that belong to no request.
func (c *connection) silent() bool {
	sysConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = n <= 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && silent
}

// noteKeepAlive takes how long the endpoint lets a connection rest.
func (c *connection) noteKeepAlive(header http.Header, margin time.Duration) {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			c.idleFor = time.Duration(seconds)*time.Second - margin
		}
	}
}
