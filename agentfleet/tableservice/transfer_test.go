package tableservice

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/transfer"
)

// A pipeListener is a net.Listener whose connections are pipes, so that it can be used with
// a fake clock.
type pipeListener struct {
	conns chan net.Conn
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	close(l.conns)
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// dial returns the client's end of a new connection.
func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	l.conns <- server
	return client, nil
}

// testClient runs check with a fake clock on a client of a platform that is served by
// handler.
func testClient(t *testing.T, handler http.HandlerFunc, check func(t *testing.T, c *Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{conns: make(chan net.Conn)}
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(l) }()
		client := New(netip.MustParseAddrPort("192.0.2.1:80"), "router-1")
		transport := &http.Transport{DialContext: l.dial}
		client.http.Transport = transport
		defer time.Sleep(time.Hour) // until all handlers have returned
		defer func() { _ = server.Close() }()
		defer transport.CloseIdleConnections()
		check(t, client)
	})
}

// A slow transfer: 1.28 MB in 10 s.
const (
	parts        = 40
	partSize     = 32 << 10 // bytes
	partInterval = 250 * time.Millisecond
)

// sendSlowly responds with a list of rows, one part per partInterval.
func sendSlowly(w http.ResponseWriter, _ *http.Request) {
	for range parts {
		time.Sleep(partInterval)
		_, _ = io.WriteString(w, strings.Repeat(" ", partSize)) // fails if the client has disconnected
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = io.WriteString(w, `{"rows":[{"key":"template/a/b","version":1}]}`)
}

// receiveSlowly reads a request with a Content-Length, one part per partInterval.
func receiveSlowly(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != parts*partSize {
		w.WriteHeader(http.StatusLengthRequired)
		return
	}
	for {
		_, err := io.CopyN(io.Discard, r.Body, partSize)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler) // the client has disconnected
		}
		time.Sleep(partInterval)
	}
}

// TestSlowTransfer checks that a transfer in either direction may take longer than
// callTimeout while it makes progress.
func TestSlowTransfer(t *testing.T) {
	content := make([]byte, parts*partSize)
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		call    func(ctx context.Context, c *Client) error
	}{
		{"a list of rows", sendSlowly, func(ctx context.Context, c *Client) error {
			rows, err := c.List(ctx, "template/")
			if err == nil && len(rows) != 1 {
				return errors.New("unexpected rows")
			}
			return err
		}},
		{"reading an object", sendSlowly, func(ctx context.Context, c *Client) error {
			_, err := c.GetObject(ctx, "plan-1-1")
			return err
		}},
		{"writing an object", receiveSlowly, func(ctx context.Context, c *Client) error {
			return c.PutObject(ctx, "plan-1-1", content)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			testClient(t, test.handler, func(t *testing.T, c *Client) {
				start := time.Now()
				assert.NilError(t, test.call(t.Context(), c))
				assert.Assert(t, time.Since(start) > 4*callTimeout)
			})
		})
	}
}

// TestStalled checks that a call fails after its transfer has stalled for callTimeout in
// either direction, also if single bytes still arrive.
func TestStalled(t *testing.T) {
	noResponse := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // returns at the end of the request, or if the client disconnects
		<-r.Context().Done()
	}
	noRead := func(http.ResponseWriter, *http.Request) { time.Sleep(time.Minute) }
	trickle := func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, " ") // fails if the client has disconnected
			_ = http.NewResponseController(w).Flush()
			time.Sleep(partInterval)
		}
	}
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		size    int // bytes written
		elapsed time.Duration
	}{
		{"no response", noResponse, 100, callTimeout},
		{"no response to a request of several parts", noResponse, 2 * partSize, callTimeout},
		{"a request of which only the first part is read", noRead, parts * partSize, 2 * callTimeout},
		{"a response of single bytes", trickle, 100, callTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			testClient(t, test.handler, func(t *testing.T, c *Client) {
				start := time.Now()
				err := c.PutObject(t.Context(), "plan-1-1", make([]byte, test.size))
				var stall *transfer.StallError
				assert.Assert(t, errors.As(err, &stall), "%v", err)
				var unavailable *ryeford.UnavailableError
				assert.Assert(t, errors.As(err, &unavailable), "%v", err)
				assert.Assert(t, unavailable.MayHaveApplied)
				assert.Equal(t, time.Since(start), test.elapsed)
			})
		})
	}
}

// TestResponseTooLarge checks that a response over the limit is an error, since an object
// would otherwise be truncated.
func TestResponseTooLarge(t *testing.T) {
	const half = maxResponse / 2
	for _, test := range []struct {
		name  string
		extra int // bytes above the limit
		fails bool
	}{
		{"at the limit", 0, false},
		{"above the limit", 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			testClient(t, func(w http.ResponseWriter, _ *http.Request) {
				for _, size := range []int{half, half, test.extra} {
					_, _ = w.Write(make([]byte, size)) // fails after the client has stopped reading
				}
			}, func(t *testing.T, c *Client) {
				content, err := c.GetObject(t.Context(), "plan-1-1")
				if !test.fails {
					assert.NilError(t, err)
					assert.Equal(t, len(content), maxResponse)
					return
				}
				var size *SizeError
				assert.Assert(t, errors.As(err, &size), "%v", err)
				var unavailable *ryeford.UnavailableError
				assert.Assert(t, errors.As(err, &unavailable), "%v", err)
			})
		})
	}
}
