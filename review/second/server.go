//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"github.com/ryeford/ryeford/platform/wire"
)

// A rawServer plays an endpoint that writes its answers byte by byte.
type rawServer struct {
	id      string
	address netip.AddrPort
	// answer answers a request. It reports whether the connection stays open.
	answer func(conn net.Conn, request *http.Request, body []byte) bool
}

// newRawServer starts a server at a free port.
func newRawServer(id string, answer func(conn net.Conn, request *http.Request, body []byte) bool) (*rawServer, error) {
	return listenRawServer(id, "127.0.0.1:0", answer)
}

// listenRawServer starts a server at an address.
func listenRawServer(id, address string, answer func(conn net.Conn, request *http.Request, body []byte) bool) (*rawServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &rawServer{id: id, address: addressOf(listener), answer: answer}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// serve serves the requests of a connection, one at a time.
func (s *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if expected := request.Header.Get(wire.HeaderExpectEndpoint); expected != "" && expected != s.id {
			_, _ = io.WriteString(conn, s.head(request, "421 Misdirected Request", "Content-Length: 0"))
			continue
		}
		if !s.answer(conn, request, body) {
			return
		}
	}
}

// head returns the head of an answer with the given status and further headers.
func (s *rawServer) head(request *http.Request, status string, headers ...string) string {
	lines := []string{
		"HTTP/1.1 " + status,
		wire.HeaderRequestID + ": " + request.Header.Get(wire.HeaderRequestID),
		wire.HeaderEndpointID + ": " + s.id,
	}
	return strings.Join(append(lines, headers...), "\r\n") + "\r\n\r\n"
}

// stamp returns the header that signs an answer of the server to a request.
func (s *rawServer) stamp(request *http.Request, run int) string {
	return fmt.Sprintf("%s: %s.%s.%d", wire.HeaderSignature, s.id, request.Header.Get(wire.HeaderRequestID), run)
}

// chunk returns text as a chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// lastChunk ends a body of chunks.
const lastChunk = "0\r\n\r\n"
