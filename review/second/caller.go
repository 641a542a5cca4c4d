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
	"time"

	"github.com/ryeford/ryeford/platform/wire"
)

// A call is a request of a caller.
type call struct {
	method, path string
	id           string
	headers      []string
	body         string
	timeout      time.Duration
}

// An answer is what a caller received.
type answer struct {
	status   int
	header   http.Header
	body     string
	complete bool // the body ended as its framing says
	err      error
}

// A connection is a caller's connection to a gateway.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func connect(to netip.AddrPort) (*connection, error) {
	conn, err := net.DialTimeout("tcp", to.String(), time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends a request.
func (c *connection) send(q *call) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: Bearer %s\r\n%s: %d\r\n", q.method, q.path, routeHost,
		wire.HeaderRequestID, q.id, wire.HeaderAuthorization, apiKey, wire.HeaderTimeout, q.timeout.Milliseconds())
	for _, header := range q.headers {
		b.WriteString(header + "\r\n")
	}
	if q.body != "" || q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	_, err := io.WriteString(c, b.String())
	return err
}

// receive reads the answer to a request.
func (c *connection) receive(q *call) answer {
	_ = c.SetReadDeadline(time.Now().Add(q.timeout + time.Second))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), complete: err == nil, err: err}
}

// do sends a request on a new connection and reads the answer.
func do(to netip.AddrPort, q *call) answer {
	c, err := connect(to)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	if err := c.send(q); err != nil {
		return answer{err: err}
	}
	return c.receive(q)
}
