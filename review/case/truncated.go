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

// The case "truncated". One in fifty of the servers' answers is a stream without a length that begins before the server
// has read the long request. While the gateway still sends the rest of such a request, the network resets half of the
// gateway's connections to servers, amid the answers.

const (
	truncatedGateways = 3
	truncatedServers  = 12
	truncatedWaves    = 5
	truncatedPerWave  = 20      // requests that each gateway gets at once
	truncatedResets   = 10      // of them, at the first gateway: x 0.5 of its connections
	truncatedRequest  = 110_000 // bytes of a request, the most on the sheet
	truncatedDeadline = 6 * time.Second

	streamPieces = 18                     // the mean on the sheet
	resetPiece   = 9                      // after which the network resets the connections
	streamGap    = 20 * time.Millisecond  // between pieces
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

// A streamPlan states what happens to the answers to some requests.
type streamPlan struct {
	mu       sync.Mutex
	unframed map[string]bool // answered early and without a length
	reset    map[string]bool // their connections are reset
}

func newStreamPlan() *streamPlan {
	return &streamPlan{unframed: make(map[string]bool), reset: make(map[string]bool)}
}

func (p *streamPlan) set(id string, unframed, reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unframed[id], p.reset[id] = unframed, reset
}

func (p *streamPlan) get(id string) (unframed, reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unframed[id], p.reset[id]
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
	unframed, reset := s.plan.get(id)
	s.record.add("server %s runs %s; answer without a length %v", s.id, id, unframed)
	if !unframed {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
	if !s.stream(conn, id, unframed, reset) {
		return
	}
	if unframed {
		time.Sleep(readPause)
		n, err := io.Copy(io.Discard, request.Body)
		s.record.add("server %s has sent the whole answer to %s and has read %d bytes of it, err %v", s.id, id, n, err)
	}
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, reader)
}

// stream sends the answer to a request and reports whether its connection was not reset.
func (s *earlyServer) stream(conn *net.TCPConn, id string, unframed, reset bool) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.1\r\n%s: %s\r\nRyeford-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n",
		headerID, id, headerStamp, s.id, headerInstance, s.id)
	format, end := "Transfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n"
	if unframed {
		format, end = "\r\n", ""
	}
	_, _ = io.WriteString(conn, head+format)
	for i := 1; i <= streamPieces; i++ {
		time.Sleep(streamGap)
		if reset && i > resetPiece {
			s.record.add("the network resets the connection of %s after %d of %d pieces", id, resetPiece, streamPieces)
			_ = conn.SetLinger(0)
			return false
		}
		event := piece(id, i)
		if !unframed {
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
	counts := &streamCounts{}
	for wave := range truncatedWaves {
		s.sendWave(wave, gateways, plan, counts)
		time.Sleep(time.Second)
	}
	sent := int64(truncatedWaves * truncatedGateways * truncatedPerWave)
	s.record.add("%d requests: %d whole streams, %d streams that ended as complete before their last piece, %d failures",
		sent, counts.whole.Load(), counts.partial.Load(), counts.failures.Load())
	switch {
	case counts.partial.Load() > 0:
		return broken, nil
	case !s.trouble && counts.whole.Load() < sent:
		return failed, fmt.Errorf("%d of %d requests served without trouble", counts.whole.Load(), sent)
	}
	return held, nil
}

// sendWave sends requests to all gateways at once and waits for their ends.
func (s *setup) sendWave(wave int, gateways []*gateway, plan *streamPlan, counts *streamCounts) {
	var group sync.WaitGroup
	for i, g := range gateways {
		for n := range truncatedPerWave {
			id := fmt.Sprintf("%04x%04x%08x", wave+1, i+1, 0x9c41d000+n)
			plan.set(id, i == 0 && n == 0, s.trouble && i == 0 && n < truncatedResets)
			group.Go(func() { s.sendStream(g, id, counts) })
		}
	}
	group.Wait()
}

// sendStream sends one request and compares the answer with what the server sent.
func (s *setup) sendStream(g *gateway, id string, counts *streamCounts) {
	ctx, cancel := context.WithTimeout(context.Background(), truncatedDeadline)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	request, err := newRequest(ctx, g, "/summary/a", id, truncatedDeadline, bytes.Repeat([]byte{'x'}, truncatedRequest))
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
