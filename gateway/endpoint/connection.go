package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/clock"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before the kernel closes the connection.
	// It detects endpoints that have lost power or network and send nothing.
	ackTimeout = 3 * time.Second
	// kernelAckTimeout stands for the kernel's own limit, of minutes.
	kernelAckTimeout = time.Duration(0)
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
	// tcpUserTimeout is TCP_USER_TIMEOUT on Linux, which package syscall lacks.
	tcpUserTimeout = 18
)

type connection struct {
	net.Conn
	endpoint ryeford.EndpointID
	reader   *bufio.Reader
	response *responseReader // what reader reads from
	// maxIdle is how long the connection may be idle before the endpoint could close it.
	maxIdle   time.Duration
	usedAt    time.Time // when it was opened or its last response ended
	idleUntil time.Time
	// awaited reports that unacknowledged bytes are awaited for longer than ackTimeout.
	awaited bool
}

// dial opens a connection to an endpoint. The error is an *UnsentError.
func dial(ctx context.Context, to *ryeford.Endpoint) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: controlDial}
	conn, err := dialer.DialContext(ctx, "tcp", to.Address.String())
	if err != nil {
		return nil, &UnsentError{Err: err}
	}
	return newConnection(conn, to.ID), nil
}

// newConnection returns a connection that was just opened.
func newConnection(conn net.Conn, to ryeford.EndpointID) *connection {
	now := clock.Now()
	response := &responseReader{conn: conn}
	return &connection{
		Conn:      conn,
		endpoint:  to,
		reader:    bufio.NewReaderSize(response, readBuffer),
		response:  response,
		maxIdle:   defaultMaxIdle,
		usedAt:    now,
		idleUntil: now.Add(defaultMaxIdle),
	}
}

// controlDial sets the options of a connection before it is opened.
func controlDial(_, _ string, raw syscall.RawConn) error { return setAckTimeout(raw, ackTimeout) }

func setAckTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	return errors.Join(err, setErr)
}

// awaitAcks lets sent bytes stay unacknowledged for as long as the kernel allows, or for ackTimeout again. The kernel
// counts the time for which a living endpoint reads nothing as well.
func (c *connection) awaitAcks(awaited bool) {
	if c.awaited == awaited {
		return
	}
	c.awaited = awaited
	timeout := ackTimeout
	if awaited {
		timeout = kernelAckTimeout
	}
	if sysConn, ok := c.Conn.(syscall.Conn); ok {
		if raw, err := sysConn.SyscallConn(); err == nil {
			_ = setAckTimeout(raw, timeout) // fails only on a closed connection
		}
	}
}

// nothingReceived reports whether an idle connection has no pending input: neither EOF nor bytes that belong
// to no request.
func (c *connection) nothingReceived() bool {
	sysConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = n <= 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && empty
}

// beginHead begins the head of a response.
func (c *connection) beginHead() {
	c.unread()
	c.response.beginHead()
}

// beginBody begins the body after a head.
func (c *connection) beginBody(head *http.Response) {
	chunked := len(head.TransferEncoding) > 0 && head.Body != http.NoBody
	if chunked {
		c.unread()
	}
	c.response.beginBody(chunked)
}

// unread makes what the reader holds arrive again.
func (c *connection) unread() {
	held, _ := c.reader.Peek(c.reader.Buffered()) // can't fail: nothing is read
	c.response.unread = bytes.Clone(held)
	c.reader.Reset(c.response)
}

// readKeepAlive sets maxIdle from a response's Keep-Alive header, which is in whole seconds. It ignores a
// malformed header.
func (c *connection) readKeepAlive(header http.Header) {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			c.maxIdle = time.Duration(seconds)*time.Second - idleMargin
		}
	}
}

// close closes the connection. It ignores the error, which could only report that the connection was already
// broken.
func (c *connection) close() { _ = c.Close() }
