//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case "truncated". One in sixty of the servers' answers is a stream without a length that begins before the server
// has read the long request. In the first part, the server goes on reading when it has sent the answer, after over four
// seconds. In the second part it goes on reading soon, and the network resets half of a gateway's connections to servers,
// amid the answers.

const (
	truncatedGateways = 3
	truncatedServers  = 12
	truncatedLate     = 3       // waves of the first part
	truncatedWaves    = 5       // of the second part
	truncatedPerWave  = 20      // requests that each gateway gets at once
	truncatedResets   = 10      // of them, at the first gateway: x 0.5 of its connections
	truncatedRequest  = 110_000 // bytes of a request, the most on the sheet
	truncatedLonger   = 400_000 // bytes of a request of every second wave; limits.maxBodyBytes allows 4,194,304
	truncatedDeadline = 6 * time.Second

	streamPieces = 18                     // the mean on the sheet
	resetPiece   = 9                      // after which the network resets the connections
	streamGap    = 20 * time.Millisecond  // between pieces
	lateGap      = 250 * time.Millisecond // between pieces of the answers of servers that read late; the sheet allows 300
	readPause    = 300 * time.Millisecond // from the end of an early answer until the server goes on reading

	linkSegment = 1460    // bytes: frames of the usual size, as between machines
	linkWindow  = 4 << 10 // bytes that may wait at a server that doesn't read
)

// listenLink listens at an address to which frames have the usual size and the window is small.
func listenLink(host string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, linkSegment),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkWindow),
			)
		})
		return errors.Join(err, setErr)
	}}
	return config.Listen(context.Background(), "tcp", net.JoinHostPort(host, "0"))
}

// piece returns one event of the answer to a request.
func piece(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, id)
}

// wholeStream returns the body of the answer to a request.
func wholeStream(id string) []byte {
	var b strings.Builder
	for i := 1; i <= streamPieces; i++ {
		b.WriteString(piece(id, i))
	}
	return []byte(b.String())
}

// A treatment is what happens to the answer to a request.
type treatment struct {
	unframed bool // it begins early and has no length
	late     bool // its pieces are far apart, and the server reads the rest of the request after them
	reset    bool // its connection is reset
}

// gap returns the time between the pieces of the answer.
func (t treatment) gap() time.Duration {
	if t.late {
		return lateGap
	}
	return streamGap
}

// A streamPlan holds the treatments of the requests that aren't answered plainly.
type streamPlan struct {
	mu         sync.Mutex
	treatments map[string]treatment
}

func newStreamPlan() *streamPlan { return &streamPlan{treatments: make(map[string]treatment)} }

func (p *streamPlan) set(id string, t treatment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.treatments[id] = t
}

func (p *streamPlan) get(id string) treatment {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.treatments[id]
}

// An earlyServer is a model server.
type earlyServer struct {
	id     string
	record *record
	plan   *streamPlan
}

func (s *earlyServer) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn.(*net.TCPConn))
	}
}

// serveConn serves one request: the connection is closed after it.
func (s *earlyServer) serveConn(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	id := request.Header.Get(headerID)
	if request.Header.Get(headerExpect) != s.id {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", headerID, id)
		return
	}
	t := s.plan.get(id)
	s.record.add("server %s runs %s; answer without a length %v", s.id, id, t.unframed)
	if !t.unframed {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
	if !s.stream(conn, id, t) {
		return
	}
	if t.unframed {
		time.Sleep(readPause)
		n, err := io.Copy(io.Discard, request.Body)
		s.record.add("server %s has sent the whole answer to %s and has read %d bytes of it, err %v", s.id, id, n, err)
	}
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, reader)
}

// stream sends the answer to a request and reports whether its connection was not reset.
func (s *earlyServer) stream(conn *net.TCPConn, id string, t treatment) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.1\r\n%s: %s\r\nRyeford-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n",
		headerID, id, headerStamp, s.id, headerInstance, s.id)
	format, end := "Transfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n"
	if t.unframed {
		format, end = "\r\n", ""
	}
	_, _ = io.WriteString(conn, head+format)
	for i := 1; i <= streamPieces; i++ {
		time.Sleep(t.gap())
		if t.reset && i > resetPiece {
			s.record.add("the network resets the connection of %s after %d of %d pieces", id, resetPiece, streamPieces)
			_ = conn.SetLinger(0)
			return false
		}
		event := piece(id, i)
		if !t.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		_, _ = io.WriteString(conn, event)
	}
	_, _ = io.WriteString(conn, end)
	return true
}

// streamCounts counts the ends of the requests.
type streamCounts struct {
	whole, partial, failures atomic.Int64
}

// String implements fmt.Stringer.
func (c *streamCounts) String() string {
	return fmt.Sprintf("%d whole streams, %d streams that ended as complete before their last piece, %d failures",
		c.whole.Load(), c.partial.Load(), c.failures.Load())
}

// startStreamServers starts the servers of the case and lists them.
func (s *setup) startStreamServers(p *platform, plan *streamPlan) error {
	for i := range truncatedServers {
		listener, err := listenLink(s.host)
		if err != nil {
			return err
		}
		server := &earlyServer{id: fmt.Sprintf("i-5d1f%02x", i), record: s.record, plan: plan}
		go server.serve(listener)
		if err := p.list(server.id, "ryeford-pool", zones[i%len(zones)], listener.Addr().String(), 64); err != nil {
			return err
		}
	}
	return p.configure([]string{"ryeford-pool"}, []route{streamRoute})
}

// streamRoute is the route of a kind of request of the sheet.
var streamRoute = route{
	Name: "call-summary", Host: requestHost, Prefix: "/summary/", Service: "ryeford-pool", Kind: "streaming",
	TimeoutMs: 6000, GoalMs: 600, Priority: 1, MaxAttempts: 1,
}

func runTruncated(s *setup) (int, error) {
	p, err := newPlatform(s.host)
	if err != nil {
		return failed, err
	}
	defer p.close()
	plan := newStreamPlan()
	if err := s.startStreamServers(p, plan); err != nil {
		return failed, err
	}
	var gateways []*gateway
	for i := range truncatedGateways {
		g, err := p.startGateway(s.dir, fmt.Sprintf("front-%d", i+1), zones[i%len(zones)])
		if err != nil {
			return failed, err
		}
		defer g.kill()
		defer keepProbing(g.ready)()
		gateways = append(gateways, g)
	}
	time.Sleep(contact) // the gateways are in touch with the store
	late, resets := &streamCounts{}, &streamCounts{}
	for wave := range truncatedLate {
		s.sendWave(wave, gateways, plan, late, func(gateway, n int) treatment {
			special := gateway == 0 && n == 0
			return treatment{unframed: special, late: special && s.trouble}
		})
	}
	for wave := range truncatedWaves {
		s.sendWave(truncatedLate+wave, gateways, plan, resets, func(gateway, n int) treatment {
			return treatment{unframed: gateway == 0 && n == 0, reset: s.trouble && gateway == 0 && n < truncatedResets}
		})
		time.Sleep(time.Second)
	}
	s.record.add("servers that read late: %s", late)
	s.record.add("connections that are reset: %s", resets)
	sent := int64((truncatedLate + truncatedWaves) * truncatedGateways * truncatedPerWave)
	whole := late.whole.Load() + resets.whole.Load()
	switch {
	case late.partial.Load()+resets.partial.Load() > 0:
		return broken, nil
	case !s.trouble && whole < sent:
		return failed, fmt.Errorf("%d of %d requests served without trouble", whole, sent)
	}
	return held, nil
}

// sendWave sends requests to all gateways at once and waits for their ends. treat returns the treatment of a gateway's
// request of a number.
func (s *setup) sendWave(wave int, gateways []*gateway, plan *streamPlan, counts *streamCounts, treat func(gateway, n int) treatment) {
	size := truncatedRequest
	if wave%2 == 1 {
		size = truncatedLonger
	}
	var group sync.WaitGroup
	for i, g := range gateways {
		for n := range truncatedPerWave {
			id := fmt.Sprintf("%04x%04x%08x", wave+1, i+1, 0x9c41d000+n)
			plan.set(id, treat(i, n))
			group.Go(func() { s.sendStream(g, id, size, counts) })
		}
	}
	group.Wait()
}

// sendStream sends one request and compares the answer with what the server sent.
func (s *setup) sendStream(g *gateway, id string, size int, counts *streamCounts) {
	ctx, cancel := context.WithTimeout(context.Background(), truncatedDeadline)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	request, err := newRequest(ctx, g, "/summary/a", id, truncatedDeadline, bytes.Repeat([]byte{'x'}, size))
	if err != nil {
		counts.failures.Add(1)
		return
	}
	a := exchange(client, request)
	s.record.add("the client gets for %s: status %d, stamp %q, %d pieces, err %v", id, a.status, a.stamp, strings.Count(string(a.body), "\n\n"), a.err)
	switch {
	case a.err != nil || a.status != http.StatusOK:
		counts.failures.Add(1)
	case bytes.Equal(a.body, wholeStream(id)):
		counts.whole.Add(1)
	default:
		counts.partial.Add(1)
	}
}
