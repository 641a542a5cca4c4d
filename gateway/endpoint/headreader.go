package endpoint

import (
	"fmt"
	"net"

	"github.com/ryeford/ryeford/internal/httpscan"
)

// maxResponseHead is the maximum size of the head of a response, with the interim responses (1xx) before it, in bytes.
const maxResponseHead = 64 << 10

// A headReader reads from a connection. While it reads the head of a response it limits its size and checks its bytes as
// they arrive, so that nothing waits for the end of what is no head.
type headReader struct {
	conn    net.Conn
	inHead  bool
	unread  []byte // arrived before the head was expected
	left    int    // bytes that may still be read of the head
	scanner httpscan.Head
	err     error // of scanner
}

// begin begins the head of a response with bytes that were read before.
func (h *headReader) begin(unread []byte) {
	*h = headReader{conn: h.conn, inHead: true, unread: unread, left: maxResponseHead}
}

// end ends the head: what follows is neither limited nor checked here.
func (h *headReader) end() { h.inHead = false }

// Read implements io.Reader. The error is a *httpscan.MalformedError, an *UnusableResponseError if the head is
// too large, or one of the connection.
func (h *headReader) Read(p []byte) (int, error) {
	switch {
	case !h.inHead:
		return h.read(p)
	case h.err != nil:
		return 0, h.err
	case h.left == 0:
		return 0, &UnusableResponseError{Problem: fmt.Sprintf("its head is larger than %d bytes", maxResponseHead)}
	}
	n, err := h.read(p[:min(len(p), h.left)])
	h.left -= n
	if h.err = h.scanner.Scan(p[:n]); h.err != nil {
		return 0, h.err
	}
	return n, err
}

// read reads what arrived before, and then from the connection.
func (h *headReader) read(p []byte) (int, error) {
	if len(h.unread) == 0 {
		return h.conn.Read(p)
	}
	n := copy(p, h.unread)
	h.unread = h.unread[n:]
	return n, nil
}
