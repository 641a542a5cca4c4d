package endpoint_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/internal/freeport"
	"github.com/ryeford/ryeford/platform"
)

// listen returns an endpoint that serves each connection with serve, and the number of connections.
func listen(t *testing.T, serve func(conn net.Conn)) (*ryeford.Endpoint, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	count := new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			count.Add(1)
			go serve(conn)
		}
	}()
	return &ryeford.Endpoint{ID: "e", Address: netip.MustParseAddrPort(listener.Addr().String())}, count
}

// readRequest reads one request without a body.
func readRequest(conn net.Conn) bool {
	buffer := make([]byte, 4096)
	n, err := conn.Read(buffer)
	return err == nil && n > 0
}

// okResponse is a complete response to request r.
const okResponse = "HTTP/1.1 200 OK\r\nRyeford-Request-Id: r\r\nRyeford-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok"

// send sends request r to an endpoint and returns the body of the response.
func send(ctx context.Context, pool *endpoint.Pool, to *ryeford.Endpoint) (string, error) {
	got, err := pool.Send(ctx, to, &endpoint.Request{ID: "r", Method: "POST", Target: "/", Host: "h", Header: http.Header{}}, func() error { return nil })
	if err != nil {
		return "", err
	}
	defer got.Close()
	body, err := got.ReadAll(100)
	return string(body), err
}

func newPool() *endpoint.Pool {
	return endpoint.New(platform.Protocol{})
}

// TestUnresponsiveIdleConnection checks that a request that must not be repeated is not lost on an idle connection that
// is broken without notice. A repeatable request may use it, and costs a retry.
func TestUnresponsiveIdleConnection(t *testing.T) {
	to, count := listen(t, func(conn net.Conn) {
		if readRequest(conn) {
			_, _ = io.WriteString(conn, okResponse)
		}
		<-t.Context().Done() // no further response, and no close
		_ = conn.Close()
	})
	pool := newPool()
	body, err := send(t.Context(), pool, to)
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	time.Sleep(beyondNotRepeatableMaxIdle)
	request := &endpoint.Request{ID: "r", Method: "POST", Target: "/", Host: "h", Header: http.Header{}, NotRepeatable: true}
	got, err := pool.Send(t.Context(), to, request, func() error { return nil })
	assert.NilError(t, err)
	_, err = got.ReadAll(100)
	assert.NilError(t, err)
	got.Close()
	assert.Equal(t, count.Load(), int64(2), "the request used a new connection")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = send(ctx, pool, to)
	var lost *endpoint.LostError
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	assert.Equal(t, count.Load(), int64(2))
}

// beyondNotRepeatableMaxIdle exceeds the idle time that is allowed before a request that must not be repeated.
const beyondNotRepeatableMaxIdle = 250 * time.Millisecond

// TestReuse checks that a connection is reused, and replaced without losing a request if the endpoint has closed it.
func TestReuse(t *testing.T) {
	closed := make(chan struct{}, 8)
	to, count := listen(t, func(conn net.Conn) {
		for range 2 {
			if !readRequest(conn) {
				return
			}
			_, _ = io.WriteString(conn, okResponse)
		}
		_ = conn.Close()
		closed <- struct{}{}
	})
	pool := newPool()
	for i := range 6 {
		body, err := send(t.Context(), pool, to)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		if i%2 == 1 {
			<-closed
		}
	}
	assert.Equal(t, count.Load(), int64(3))
}

// TestUnsent checks that a request that cannot have reached its endpoint fails with an UnsentError, and one with a
// lost, malformed or foreign response with a LostError.
func TestUnsent(t *testing.T) {
	dead := &ryeford.Endpoint{ID: "e", Address: freeport.Next()}
	var unsent *endpoint.UnsentError
	_, err := send(t.Context(), newPool(), dead)
	assert.Assert(t, errors.As(err, &unsent), "%v", err)

	var lost *endpoint.LostError
	for name, reply := range map[string]string{
		"no response":          "",
		"truncated head":       "HTTP/1.1 200 OK\r\nRyeford-Requ",
		"truncated body":       okResponse[:len(okResponse)-1],
		"another request's ID": "HTTP/1.1 200 OK\r\nRyeford-Request-Id: x\r\nRyeford-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nno",
		"no request ID":        "HTTP/1.1 200 OK\r\nRyeford-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nno",
		"unsigned":             "HTTP/1.1 200 OK\r\nRyeford-Request-Id: r\r\nContent-Length: 2\r\n\r\nno",
		"encoded":              "HTTP/1.1 200 OK\r\nRyeford-Request-Id: r\r\nRyeford-Server-Stamp: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno",
		"malformed chunk":      "HTTP/1.1 200 OK\r\nRyeford-Request-Id: r\r\nRyeford-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\nzz\r\n",
		"body over the limit":  "HTTP/1.1 200 OK\r\nRyeford-Request-Id: r\r\nRyeford-Server-Stamp: s\r\nContent-Length: 200\r\n\r\n" + string(make([]byte, 200)),
	} {
		to, _ := listen(t, func(conn net.Conn) {
			readRequest(conn)
			_, _ = io.WriteString(conn, reply)
			_ = conn.Close()
		})
		_, err := send(t.Context(), newPool(), to)
		assert.Assert(t, errors.As(err, &lost), "%s: %v", name, err)
	}
}

// TestKeepAlive checks that a connection is not reused after the idle time that its endpoint allows.
func TestKeepAlive(t *testing.T) {
	to, count := listen(t, func(conn net.Conn) {
		for readRequest(conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"+okResponse[len("HTTP/1.1 200 OK\r\n"):])
		}
	})
	pool := newPool()
	for range 3 {
		_, err := send(t.Context(), pool, to)
		assert.NilError(t, err)
	}
	assert.Equal(t, count.Load(), int64(3))
}

// TestCancel checks that the end of a request's context closes its connection.
func TestCancel(t *testing.T) {
	ended := make(chan struct{})
	got := make(chan struct{})
	to, _ := listen(t, func(conn net.Conn) {
		readRequest(conn)
		close(got)
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	go func() {
		<-got
		cancel()
	}()
	var lost *endpoint.LostError
	_, err := send(ctx, newPool(), to)
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	<-ended
}

// TestNotReady checks that a request is not sent if the check before the first byte fails.
func TestNotReady(t *testing.T) {
	received := make(chan bool, 1) // whether a request arrived before the connection was closed
	to, _ := listen(t, func(conn net.Conn) { received <- readRequest(conn) })
	refusal := errors.New("no longer")
	pool := newPool()
	_, err := pool.Send(t.Context(), to, &endpoint.Request{ID: "r", Method: "GET", Target: "/", Host: "h"}, func() error { return refusal })
	var unsent *endpoint.UnsentError
	assert.Assert(t, errors.As(err, &unsent) && errors.Is(err, refusal))
	pool.CloseIdle("e")
	assert.Assert(t, !<-received, "the request was sent")
}
