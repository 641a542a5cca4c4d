package endpoint

import (
	"fmt"
	"net"

	"github.com/ryeford/ryeford/internal/httpscan"
)

// maxResponseHead is the maximum size of the head of a response, with the interim responses (1xx) before it, in bytes.
const maxResponseHead = 64 << 10

// A responseReader reads from a connection. It checks the bytes of heads and of bodies in chunks as they arrive, so that
// nothing waits for the end of what is no response, and limits the size of heads.
type responseReader struct {
	conn   net.Conn
	unread []byte                            // to be read again
	scan   func(b []byte) (n int, err error) // checks what arrives next; nil accepts all
	err    error                             // of scan, for the bytes after those that were read
	inHead bool
	left   int // bytes that may still be read of the head
}

// beginHead begins the head of a response.
func (r *responseReader) beginHead() {
	r.scan, r.inHead, r.left = new(httpscan.Head).Scan, true, maxResponseHead
}

// beginBody begins the body after a head.
func (r *responseReader) beginBody(chunked bool) {
	r.scan, r.inHead = nil, false
	if chunked {
		r.scan = new(httpscan.Chunks).Scan
	}
}

// Read implements io.Reader. The error is a *httpscan.MalformedError, an *UnusableResponseError if the head is too large,
// or one of the connection.
func (r *responseReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	if r.inHead {
		if r.left == 0 {
			return 0, &UnusableResponseError{Problem: fmt.Sprintf("its head is larger than %d bytes", maxResponseHead)}
		}
		p = p[:min(len(p), r.left)]
	}
	n, err := r.read(p)
	if r.inHead {
		r.left -= n
	}
	if r.scan == nil {
		return n, err
	}
	if n, r.err = r.scan(p[:n]); r.err != nil {
		err = nil // the bytes before come first
	}
	return n, err
}

// read reads what is to be read again, and then from the connection.
func (r *responseReader) read(p []byte) (int, error) {
	if len(r.unread) == 0 {
		return r.conn.Read(p)
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}
