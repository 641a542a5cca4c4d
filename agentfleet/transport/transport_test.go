package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/netip"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/internal/transfer"
	"github.com/ryeford/ryeford/settings"
)

var (
	loopback    = netip.MustParseAddr("127.0.0.1")
	testOptions = &settings.Transport{IdleTimeout: 4 * time.Second, KeepAlive: 1500 * time.Millisecond}
)

func testTLS(t testing.TB, authority *Authority, vm ryeford.VMID) *tls.Config {
	pair, err := authority.Issue(vm)
	assert.NilError(t, err)
	config, err := TLSConfig(authority.Certificate(), pair)
	assert.NilError(t, err)
	return config
}

// listen returns a Listener that serves echo on its connections until the test ends.
func listen(t testing.TB, config *tls.Config, options *settings.Transport) *Listener {
	l, err := Listen(netip.AddrPortFrom(loopback, 0), config, options)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept(context.Background())
			if err != nil {
				return
			}
			go echo(conn)
		}
	}()
	return l
}

// echo answers the first message of each stream with the same message.
func echo(conn *Conn) {
	for {
		stream, err := conn.Accept(context.Background())
		if err != nil {
			return
		}
		m, err := stream.Receive()
		if err == nil {
			_ = stream.Send(m)
		}
		stream.CloseSend()
	}
}

func dial(t testing.TB, config *tls.Config, to netip.AddrPort, options *settings.Transport) (*Conn, error) {
	d, err := NewDialer(loopback, config, options)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = d.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return d.Dial(ctx, to)
}

// TestPeerAuthentication checks that only peers with a certificate of the same authority
// get an answer, and that a peer is identified by its certificate.
func TestPeerAuthentication(t *testing.T) {
	authority, err := NewAuthority()
	assert.NilError(t, err)
	otherAuthority, err := NewAuthority()
	assert.NilError(t, err)
	l := listen(t, testTLS(t, authority, "endpoint-1"), testOptions)
	message := &wire.Message{Done: &wire.Done{}}

	conn, err := dial(t, testTLS(t, authority, "router-1"), l.Address(), testOptions)
	assert.NilError(t, err)
	assert.Equal(t, conn.Peer(), ryeford.VMID("endpoint-1"))
	answer, err := conn.RoundTrip(t.Context(), message)
	assert.NilError(t, err)
	assert.DeepEqual(t, answer, message)

	untrusted := testTLS(t, otherAuthority, "router-1")
	untrusted.InsecureSkipVerify = true
	anonymous := testTLS(t, authority, "router-1")
	anonymous.Certificates = nil
	for _, config := range []*tls.Config{untrusted, anonymous} {
		conn, err = dial(t, config, l.Address(), testOptions)
		if err == nil {
			_, err = conn.RoundTrip(t.Context(), message)
		}
		assert.Assert(t, err != nil, "an unauthenticated peer got an answer")
	}
}

// TestFetchStalled checks that Fetch fails if the answer stalls, also if single bytes still
// arrive, and that the error reports the stall; and that the end of the context ends the
// wait.
func TestFetchStalled(t *testing.T) {
	const interval = 200 * time.Millisecond
	errEnded := errors.New("ended")
	header := []byte{0, 0x10, 0, 0} // for a message of 1 MiB
	for _, test := range []struct {
		name     string
		part     int           // bytes of the message that are sent immediately
		trickle  bool          // single bytes follow
		interval time.Duration // allowed without progress
		ends     bool          // the context ends during the transfer
	}{
		{"a part of the message", 64 << 10, false, interval, false},
		{"single bytes", 0, true, interval, false},
		{"the context ends", 0, false, time.Hour, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			authority, err := NewAuthority()
			assert.NilError(t, err)
			l, err := Listen(netip.AddrPortFrom(loopback, 0), testTLS(t, authority, "router-1"), testOptions)
			assert.NilError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				peer, err := l.Accept(context.Background())
				if err != nil {
					return // the test has ended
				}
				peer.Serve(context.Background(), func(s *Stream, _ *wire.Message) {
					_, err := s.quic.Write(append(header, make([]byte, test.part)...))
					for err == nil && test.trickle {
						time.Sleep(interval / 10)
						_, err = s.quic.Write([]byte{0})
					}
					<-s.quic.Context().Done()
				})
			}()
			conn, err := dial(t, testTLS(t, authority, "endpoint-1"), l.Address(), testOptions)
			assert.NilError(t, err)
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			if test.ends {
				time.AfterFunc(interval, func() { cancel(errEnded) })
			}
			_, err = conn.Fetch(ctx, &wire.Message{Pull: &wire.Pull{}}, test.interval)
			var failure *Error
			assert.Assert(t, errors.As(err, &failure), "%v", err)
			var interrupted *transfer.InterruptedError
			assert.Assert(t, errors.As(err, &interrupted), "%v", err)
			var stall *transfer.StallError
			assert.Equal(t, errors.As(err, &stall), !test.ends, "%v", err)
			assert.Equal(t, errors.Is(err, errEnded), test.ends, "%v", err)
		})
	}
}

// TestControlLimiter checks that a burst of control traffic is limited.
func TestControlLimiter(t *testing.T) {
	sent := 0
	c := NewControlLimiter(1000, func(n int) { sent += n })
	for range 1000 {
		c.Allow(100)
	}
	assert.Assert(t, sent <= 4*1000+100, "burst of %d bytes", sent)
}

// BenchmarkConnection reports the memory, CPU time and bandwidth of an idle connection.
func BenchmarkConnection(b *testing.B) {
	const conns = 300
	authority, err := NewAuthority()
	assert.NilError(b, err)
	for _, options := range []*settings.Transport{
		{IdleTimeout: 4 * time.Second, KeepAlive: 1500 * time.Millisecond},
		{IdleTimeout: 60 * time.Second, KeepAlive: 20 * time.Second},
	} {
		b.Run(fmt.Sprintf("keep_alive=%s", options.KeepAlive), func(b *testing.B) {
			for range b.N {
				measureIdle(b, authority, options, conns)
			}
		})
	}
}

// measureIdle opens connections and measures them while they are idle.
func measureIdle(b *testing.B, authority *Authority, options *settings.Transport, conns int) {
	l := listen(b, testTLS(b, authority, "endpoint-1"), options)
	d, err := NewDialer(loopback, testTLS(b, authority, "router-1"), options)
	assert.NilError(b, err)
	defer func() { _ = d.Close() }()
	heapBefore := heapBytes()
	start := time.Now()
	open := make([]*Conn, conns)
	for i := range open {
		open[i], err = d.Dial(b.Context(), l.Address())
		assert.NilError(b, err)
	}
	handshake := time.Since(start) / time.Duration(conns)
	time.Sleep(10 * time.Second) // until the connections are idle
	sentBefore, _ := totalBytes(open)
	cpuBefore := cpuTime()
	const idle = 40 * time.Second
	time.Sleep(idle)
	sent, _ := totalBytes(open)
	cpu := cpuTime() - cpuBefore
	b.ReportMetric(float64(heapBytes()-heapBefore)/float64(2*conns), "B/conn-end")
	b.ReportMetric(float64(sent-sentBefore)/float64(conns)/idle.Seconds(), "idle-B/s/conn")
	b.ReportMetric(float64(cpu.Microseconds())/float64(2*conns)/idle.Seconds(), "idle-cpu-us/s/conn-end")
	b.ReportMetric(float64(handshake.Microseconds()), "handshake-us")
}

func totalBytes(conns []*Conn) (sent, received uint64) {
	for _, c := range conns {
		stats := c.quic.ConnectionStats()
		sent += stats.BytesSent
		received += stats.BytesReceived
	}
	return sent, received
}

// cpuTime returns the CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
