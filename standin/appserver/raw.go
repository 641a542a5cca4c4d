package appserver

import (
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/ryeford/ryeford/platform/wire"
)

// closing in place of a length ends the body with the connection.
const closing = "Connection: close\r\n"

// respondRaw responds with bytes that net/http would not send. Errors of the
// connection are dropped: the caller has closed it.
func (s *Server) respondRaw(w http.ResponseWriter, r *http.Request, fault Fault) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if fault == FaultReset {
		reset(conn)
		return
	}
	_, _ = buffer.WriteString(s.raw(r, fault))
	_ = buffer.Flush()
	if fault == FaultUnframed || fault == FaultGarbage {
		return
	}
	// The connection stays open until the caller closes it.
	_, _ = io.Copy(io.Discard, conn)
}

// reset makes closing a connection reset it.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// raw returns the bytes of a fault.
func (s *Server) raw(r *http.Request, fault Fault) string {
	id, text := r.Header.Get(wire.HeaderRequestID), s.text(r)
	switch fault {
	case FaultExtra:
		const second = "a second answer"
		return s.rawResponse(id, length(text), text) + s.rawResponse(id, length(second), second)
	case FaultForeign:
		const other = "another's answer"
		return s.rawResponse("another", length(other), other) + s.rawResponse(id, length(text)+closing, text)
	case FaultUnframed:
		return s.rawResponse(id, closing, text)
	default:
		return "\x00\x01 no answer at all\r\n\r\n"
	}
}

// length returns the header that frames a body.
func length(text string) string {
	return fmt.Sprintf("Content-Length: %d\r\n", len(text))
}

// rawResponse returns the bytes of a response with the given framing headers.
func (s *Server) rawResponse(id, framing, text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s\r\n%s",
		wire.HeaderRequestID, id, wire.HeaderSignature, s.ID, framing, text)
}
