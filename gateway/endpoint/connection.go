package endpoint

import (
	"bufio"
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
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
	// tcpUserTimeout is TCP_USER_TIMEOUT on Linux, which package syscall lacks.
	tcpUserTimeout = 18
)

type connection struct {
	net.Conn
	endpoint ryeford.EndpointID
	reader   *bufio.Reader
	// maxIdle is how long the connection may be idle before the endpoint could close it.
	maxIdle   time.Duration
	usedAt    time.Time // when it was opened or its last response ended
	idleUntil time.Time
}

// dial opens a connection to an endpoint. The error is an *UnsentError.
func dial(ctx context.Context, to *ryeford.Endpoint) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setAckTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", to.Address.String())
	if err != nil {
		return nil, &UnsentError{Err: err}
	}
	now := clock.Now()
	return &connection{
		Conn:      conn,
		endpoint:  to.ID,
		reader:    bufio.NewReaderSize(conn, readBuffer),
		maxIdle:   defaultMaxIdle,
		usedAt:    now,
		idleUntil: now.Add(defaultMaxIdle),
	}, nil
}

func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, setErr)
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
