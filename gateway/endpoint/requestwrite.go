package endpoint

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// A requestWrite is the writing of a request, which goes on while its response is read: an endpoint may respond before
// it has read the request. Its methods must be called by one goroutine.
type requestWrite struct {
	conn net.Conn
	done chan struct{} // closed once written and err are final

	written int // bytes
	err     error
}

// startWrite writes as much of a request as the send buffer holds, and the rest in another goroutine.
func startWrite(conn net.Conn, request []byte) *requestWrite {
	w := &requestWrite{conn: conn, done: make(chan struct{})}
	w.written, w.err = writeAtOnce(conn, request)
	if w.err != nil || w.written == len(request) {
		close(w.done)
		return w
	}
	go w.writeRest(request[w.written:])
	return w
}

func (w *requestWrite) writeRest(rest []byte) {
	defer close(w.done)
	n, err := w.conn.Write(rest)
	w.written += n
	w.err = err
}

// writeAtOnce writes what the send buffer of a connection holds and returns the number of bytes.
func writeAtOnce(conn net.Conn, b []byte) (int, error) {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	written := 0
	var writeErr error
	err = raw.Write(func(fd uintptr) bool {
		written, writeErr = syscall.Write(int(fd), b)
		return true
	})
	if errors.Is(writeErr, syscall.EAGAIN) || errors.Is(writeErr, syscall.EINTR) {
		writeErr = nil
	}
	return max(written, 0), errors.Join(err, writeErr)
}

// finished reports whether the writing has ended.
func (w *requestWrite) finished() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// interrupt ends the writing and returns the error that the connection has reported to it, or nil. The kernel reports
// the error of a connection once: if the writing has received it, reads return the end of the input instead.
func (w *requestWrite) interrupt() error {
	if !w.finished() {
		_ = w.conn.SetWriteDeadline(ExpiredDeadline) // fails only on a closed connection, whose writes end anyway
		<-w.done
	}
	if errors.Is(w.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return w.err
}
