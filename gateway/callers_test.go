package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/appserver"
)

// TestMalformedRequests checks that a malformed request is refused and reaches no endpoint.
func TestMalformedRequests(t *testing.T) {
	f := startedFixture(t, nil)
	const head = "Host: host.example\r\nRyeford-Request-Id: s1\r\nAuthorization: Bearer key-1\r\n"
	for name, test := range map[string]struct{ request, want string }{
		"no id":           {"GET /safe/a HTTP/1.1\r\nHost: host.example\r\n\r\n", "400"},
		"garbage":         {"\x00\x01\r\n\r\n", "400"},
		"two lengths":     {"POST /once/a HTTP/1.1\r\n" + head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
		"bad length":      {"POST /once/a HTTP/1.1\r\n" + head + "Content-Length: -3\r\n\r\n", "400"},
		"bad chunk":       {"POST /once/a HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc", "400"},
		"unknown coding":  {"POST /once/a HTTP/1.1\r\n" + head + "Transfer-Encoding: gzip\r\n\r\n", "501"},
		"large body":      {"POST /once/a HTTP/1.1\r\n" + head + "Content-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000), "413"},
		"large header":    {"GET /safe/a HTTP/1.1\r\n" + head + "X-Large: " + strings.Repeat("x", 80<<10) + "\r\n\r\n", "431"},
		"bad deadline":    {"GET /safe/a HTTP/1.1\r\n" + head + "Ryeford-Deadline-Ms: soon\r\n\r\n", "400"},
		"bad prefix":      {"GET /safe/a HTTP/1.1\r\n" + head + "Ryeford-Prompt-Prefix: zz\r\n\r\n", "400"},
		"no host":         {"GET /safe/a HTTP/1.1\r\nRyeford-Request-Id: s1\r\n\r\n", "400"},
		"folded header":   {"GET /safe/a HTTP/1.1\r\n" + head + " folded: x\r\nbad header: y\r\n\r\n", "400"},
		"space before :":  {"GET /safe/a HTTP/1.1\r\n" + head + "X-A : b\r\n\r\n", "400"},
		"absolute target": {"GET http://host.example/none/a HTTP/1.1\r\n" + head + "\r\n", "404"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.base, "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, test.request)
			line, err := bufio.NewReader(conn).ReadString('\n')
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(line, "HTTP/1.1 "+test.want), line)
		})
	}
	for _, server := range f.endpoints {
		assert.Equal(t, len(server.Received()), 0)
	}
}

// TestBodyMemory checks that the total size of buffered bodies is limited: a request that exceeds
// the limit is refused with a Retry-After, and memory is released when a request ends.
func TestBodyMemory(t *testing.T) {
	f := startedFixture(t, func(s *settings.Gateway) { s.Memory = 16 }) // 4 MB of bodies
	f.setFaults(appserver.FaultHang, -1)
	config := baseConfiguration()
	config.Version = 2
	config.Limits.MaxBodyBytes = 3 << 20
	f.putConfiguration(config)
	f.awaitLog("version=2")
	large := strings.Repeat("x", 3<<20)
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan struct{})
	go func() {
		defer close(first)
		_, _ = f.client.Do(f.request("POST", "/once/a", "key-1", large).WithContext(ctx))
	}()
	f.await("the first request at an endpoint", func() bool { return len(f.endpoints["p1"].Received())+len(f.endpoints["p2"].Received()) == 1 })
	got := f.do(f.request("POST", "/once/a", "key-1", large))
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	cancel()
	<-first
	f.setFaults(appserver.FaultNone, 0)
	f.await("memory for another body", func() bool { return f.do(f.request("POST", "/once/a", "key-1", large)).status == 200 })
}

// TestUnreadBody checks that a request that is refused because of its header is answered without
// waiting for its body.
func TestUnreadBody(t *testing.T) {
	f := startedFixture(t, func(s *settings.Gateway) { s.Memory = 16 }) // 4 MB of bodies
	config := baseConfiguration()
	config.Version = 2
	config.Limits.MaxBodyBytes = 5 << 20
	f.putConfiguration(config)
	f.awaitLog("version=2")
	const head = "Host: host.example\r\nRyeford-Request-Id: s1\r\nRyeford-Deadline-Ms: 10000\r\n"
	for name, test := range map[string]struct{ request, want string }{
		"no id":         {"POST /once/a HTTP/1.1\r\nHost: host.example\r\nContent-Length: 1000\r\n\r\n", "400"},
		"unknown route": {"POST /none/a HTTP/1.1\r\n" + head + "Content-Length: 1000\r\n\r\n", "404"},
		"unknown key":   {"POST /once/a HTTP/1.1\r\n" + head + "Authorization: Bearer other\r\nContent-Length: 1000\r\n\r\n", "401"},
		"no memory":     {"POST /once/a HTTP/1.1\r\n" + head + "Authorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n", "503"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.base, "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			began := time.Now()
			_, err = io.WriteString(conn, test.request)
			assert.NilError(t, err)
			assert.NilError(t, conn.SetReadDeadline(began.Add(5*time.Second)))
			line, err := bufio.NewReader(conn).ReadString('\n')
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(line, "HTTP/1.1 "+test.want), line)
			t.Logf("answered after %v", time.Since(began))
		})
	}
}

// TestRefusedBody checks that the connection of a refused request is reused if its body arrived
// completely, and is closed if not.
func TestRefusedBody(t *testing.T) {
	f := startedFixture(t, nil)
	const head = "Host: host.example\r\nRyeford-Request-Id: s1\r\nAuthorization: Bearer key-1\r\n"
	const next = "GET /safe/a HTTP/1.1\r\n" + head + "\r\n"
	for name, test := range map[string]struct {
		body   string
		closes bool
	}{
		"whole": {strings.Repeat("x", 20000), false},
		"none":  {"", true},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.base, "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
			reader := bufio.NewReader(conn)
			_, err = io.WriteString(conn, "POST /none/a HTTP/1.1\r\n"+head+"Content-Length: 20000\r\n\r\n"+test.body)
			assert.NilError(t, err)
			refused, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			assert.Equal(t, refused.StatusCode, 404)
			assert.Equal(t, refused.Close, test.closes)
			_, _ = io.WriteString(conn, next)
			served, err := http.ReadResponse(reader, nil)
			if test.closes {
				assert.Assert(t, err != nil && !os.IsTimeout(err), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, served.StatusCode, 200)
		})
	}
}

// TestSlowSenders checks that the connection of a caller that sends no complete header, or is
// idle, is closed after the configured timeouts, and that a later configuration changes them.
func TestSlowSenders(t *testing.T) {
	// shorter than the default timeouts
	const limit = 8 * time.Second
	const long, short = 3_600_000, 100 // milliseconds
	for name, test := range map[string]struct {
		headerTimeoutMs, idleTimeoutMs float64
		sends                          string
	}{
		"header": {short, long, "GET /safe/a HTTP/1.1\r\nHost: host"},
		"idle":   {long, short, "GET /none/a HTTP/1.1\r\nHost: host.example\r\nRyeford-Request-Id: s1\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := startedFixture(t, nil)
			config := baseConfiguration()
			config.Version = 2
			config.Limits.HeaderTimeoutMs, config.Limits.IdleTimeoutMs = test.headerTimeoutMs, test.idleTimeoutMs
			f.putConfiguration(config)
			f.awaitLog("version=2")
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.base, "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, test.sends)
			assert.NilError(t, err)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(limit)))
			_, err = io.Copy(io.Discard, conn)
			assert.NilError(t, err, "the connection is still open")
		})
	}
}

// TestSlowBody checks that an incomplete body blocks memory no longer than the caller's timeout.
func TestSlowBody(t *testing.T) {
	const limit = 8 * time.Second // shorter than the body timeout of a caller with a long timeout
	f := startedFixture(t, nil)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.base, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /once/a HTTP/1.1\r\nHost: host.example\r\nRyeford-Request-Id: s1\r\n"+
		"Authorization: Bearer key-1\r\nRyeford-Deadline-Ms: 100\r\nContent-Length: 10\r\n\r\nhalf")
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(limit)))
	line, err := bufio.NewReader(conn).ReadString('\n')
	assert.NilError(t, err, "the body is still awaited")
	assert.Assert(t, strings.HasPrefix(line, "HTTP/1.1 400"), line)
}

// TestCallerDisconnects checks that an endpoint's work is canceled when its caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	f := startedFixture(t, nil)
	f.setFaults(appserver.FaultHang, -1)
	working := func() int {
		n := 0
		for _, server := range f.endpoints {
			n += server.Running()
		}
		return n
	}
	for _, path := range []string{"/safe/a", "/stream/a", "/once/a"} {
		ctx, cancel := context.WithCancel(context.Background())
		request := f.request("POST", path, "key-1", "body").WithContext(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = f.client.Do(request)
		}()
		f.await("work in progress", func() bool { return working() == 1 })
		cancel()
		<-done
		f.await("the cancellation of the work", func() bool { return working() == 0 })
	}
}

// TestRouteTimeout checks that a request is answered with 504 after its route's timeout, even if its
// caller would wait longer.
func TestRouteTimeout(t *testing.T) {
	f := startedFixture(t, nil)
	f.setFaults(appserver.FaultHang, -1)
	got := f.call("POST", "/hasty/a")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 504)
}
