// Package rawresponse is a stand-in for an HTTP server in trouble: it answers each request with the same bytes.
package rawresponse

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
)

// MalformedHeads returns responses that net/http reads though their heads, or those of interim responses before them, are
// none in HTTP/1.1, or don't answer a request that asks for no other protocol.
func MalformedHeads(body string) map[string]string {
	const length = "Content-Length: "
	sound := "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body
	return map[string]string{
		"status 000":                           "HTTP/1.1 000 OK\r\nConnection: close\r\n\r\n" + body,
		"status 000 with a blank":              "HTTP/1.1 000 \r\n" + length + "0\r\n\r\n",
		"status 101":                           "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + body,
		"status 600":                           "HTTP/1.1 600 OK\r\nConnection: close\r\n\r\n" + body,
		"a blank in a name":                    "HTTP/1.1 200 OK\r\nTwo Words: x\r\nConnection: close\r\n\r\n" + body,
		"a blank after a name":                 "HTTP/1.1 200 OK\r\n" + length[:len(length)-2] + " : 1\r\nConnection: close\r\n\r\n" + body,
		"a blank in a name of an interim head": "HTTP/1.1 103 Early Hints\r\nTwo Words: x\r\n\r\n" + sound,
	}
}

// A Server answers each request with the same bytes and closes the connection.
type Server struct{ listener net.Listener }

// Start starts a Server on loopback.
func Start(response string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(conn, response)
		}
	}()
	return &Server{listener: listener}, nil
}

// answer reads a request and writes the response.
func answer(conn net.Conn, response string) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	_, _ = io.WriteString(conn, response) // a client that has gone gets none
}

// Address returns the address at which the Server listens.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close stops the Server.
func (s *Server) Close() { _ = s.listener.Close() }
