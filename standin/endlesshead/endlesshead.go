// Package endlesshead plays a server whose responses have a head without end, for tests of the limits of clients.
package endlesshead

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
)

// The heads. Each begins a response in order.
const (
	NoLineFeed = "HTTP/1.1 200 OK\r\nA: z"
	Fields     = "HTTP/1.1 200 OK\r\nA: b\r\n"
	Interim    = "HTTP/1.1 103 Early Hints\r\n\r\n"
)

// repeated returns what follows a head again and again.
func repeated(head string) string {
	switch head {
	case Fields:
		return "A: b\r\n"
	case Interim:
		return Interim
	}
	return "z"
}

// A Server is such a server.
type Server struct {
	listener net.Listener
	head     string
}

// Start starts a Server on a loopback address.
func Start(head string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, head: head}
	go s.serve()
	return s, nil
}

// Address returns the server's address.
func (s *Server) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// Close stops the server.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.write(conn)
	}
}

// write reads a request, and then writes until the client closes the connection.
func (s *Server) write(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, err := io.WriteString(conn, s.head)
	for chunk := strings.Repeat(repeated(s.head), 1000); err == nil; {
		_, err = io.WriteString(conn, chunk)
	}
}
