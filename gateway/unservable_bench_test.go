package gateway

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/outlier"
	"github.com/ryeford/ryeford/standin/appserver"
)

// unresponsiveAddress returns an address that answers no connection attempt, as that of a VM that is
// down: the backlog of its listener is full.
func unresponsiveAddress(tb testing.TB) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(tb, err)
	tb.Cleanup(func() { _ = syscall.Close(fd) })
	assert.NilError(tb, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(tb, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	assert.NilError(tb, err)
	bound := name.(*syscall.SockaddrInet4)
	address := netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port)).String()
	for {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		tb.Cleanup(func() { _ = conn.Close() })
	}
}

// BenchmarkUnservable measures the time until a request is answered after the router has detected that
// it can't be served.
func BenchmarkUnservable(b *testing.B) {
	unresponsive := []string{unresponsiveAddress(b), unresponsiveAddress(b), unresponsiveAddress(b), unresponsiveAddress(b)}
	slow := startEndpoint(b, &appserver.Server{ID: "e1"}, func() { time.Sleep(50 * time.Millisecond) })
	for _, row := range []struct {
		name    string
		prepare func(*exchangeTest) (known func() time.Time)
	}{
		{"no endpoint can be reached", func(e *exchangeTest) func() time.Time {
			e.setEndpoints(unresponsive...)
			for _, id := range []ryeford.EndpointID{"e1", "e2", "e3", "e4"} {
				e.forwarder.detector.Eject(time.Now(), id, outlier.UnreachableEjection)
			}
			return func() time.Time { return e.request.arrived }
		}},
		{"key revoked while connecting", func(e *exchangeTest) func() time.Time {
			e.setEndpoints(unresponsive...)
			revoked := make(chan time.Time, 1)
			time.AfterFunc(100*time.Millisecond, func() {
				e.revokeKey()
				revoked <- time.Now()
			})
			return func() time.Time { return <-revoked }
		}},
		{"too little time left", func(e *exchangeTest) func() time.Time {
			e.setEndpoints(slow)
			assert.Equal(b, e.serve().Code, 200) // records the response time
			e.request.arrived = time.Now()
			e.request.deadline = time.Now().Add(30 * time.Millisecond)
			return func() time.Time { return e.request.arrived }
		}},
	} {
		b.Run(row.name, func(b *testing.B) {
			var took []time.Duration
			for range b.N {
				e := newExchangeTest(b)
				known := row.prepare(e)
				e.serve()
				took = append(took, time.Since(known()))
			}
			slices.Sort(took)
			b.ReportMetric(took[len(took)/2].Seconds()*1000, "p50-ms")
			b.ReportMetric(took[len(took)*99/100].Seconds()*1000, "p99-ms")
		})
	}
}

// BenchmarkUnservableCrowd measures the time from arrival to the answer of 50 concurrent requests after
// the router has detected that no endpoint is reachable.
func BenchmarkUnservableCrowd(b *testing.B) {
	const crowd = 50
	e := newExchangeTest(b)
	e.setEndpoints(unresponsiveAddress(b), unresponsiveAddress(b), unresponsiveAddress(b), unresponsiveAddress(b))
	assert.Equal(b, e.serve().Code, 503)
	var took []time.Duration
	sends := e.sends()
	for b.Loop() {
		took = append(took, e.serveCrowd(crowd)...)
	}
	slices.Sort(took)
	b.ReportMetric(took[len(took)/2].Seconds()*1000, "p50-ms")
	b.ReportMetric(took[len(took)*9/10].Seconds()*1000, "p90-ms")
	b.ReportMetric(took[len(took)*99/100].Seconds()*1000, "p99-ms")
	b.ReportMetric(float64(e.sends()-sends)/float64(b.N), "attempts")
}

// serveCrowd serves n concurrent requests and returns how long each took.
func (e *exchangeTest) serveCrowd(n int) []time.Duration {
	took := make([]time.Duration, n)
	var group sync.WaitGroup
	for i := range n {
		q := *e.request
		q.arrived = time.Now()
		q.setDeadline()
		group.Go(func() {
			e.serveRequest(&q)
			took[i] = time.Since(q.arrived)
		})
	}
	group.Wait()
	return took
}
