package gateway_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/ryeford/ryeford/standin/appserver"
)

// A recordingEndpoint is an endpoint that records the requests that it receives.
type recordingEndpoint struct {
	*appserver.Server

	mu          sync.Mutex
	received    []receivedRequest
	running     int // number of requests that are running
	connections int // number of connections that were opened
}

// Connections returns how many connections were opened.
func (e *recordingEndpoint) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.connections
}

// recordConnection implements the ConnState hook of an http.Server.
func (e *recordingEndpoint) recordConnection(_ net.Conn, state http.ConnState) {
	if state != http.StateNew {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.connections++
}

// A receivedRequest is a request as the endpoint received it.
type receivedRequest struct {
	Method string
	Target string
	Header http.Header
	Body   string
}

// ServeHTTP implements http.Handler.
func (e *recordingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the connection is closed: no response can be sent
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	e.begin(receivedRequest{
		Method: r.Method,
		Target: r.RequestURI,
		Header: r.Header.Clone(),
		Body:   string(body),
	})
	defer e.end()
	e.Server.ServeHTTP(w, r)
}

func (e *recordingEndpoint) begin(request receivedRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, request)
	e.running++
}

func (e *recordingEndpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// Received returns the received requests in order.
func (e *recordingEndpoint) Received() []receivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.received)
}

// Running returns how many requests are running.
func (e *recordingEndpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}
