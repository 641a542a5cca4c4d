//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case "leaving". A model server that has stated that it is draining crashes while it sends its last streams. One in
// twenty of its streams has no length.

const (
	leavingServers  = 4
	leavingClients  = 80 // streams at once, 20 at each server
	leavingWaves    = 3
	leavingPieces   = 93                    // the mean of reply-stream on the sheet
	leavingGap      = 40 * time.Millisecond // between pieces
	leavingUnframed = 20                    // one in so many answers has no length: x 0.05
	leavingSlots    = 64
	leavingDeadline = 15 * time.Second

	drainAfter = 800 * time.Millisecond // from the start of the streams
	crashAfter = time.Second            // from then
)

// leavingRoute is the route of a kind of request of the sheet.
var leavingRoute = route{
	Name: "reply-stream", Host: requestHost, Prefix: "/reply/", Service: "ryeford-pool", Kind: "streaming",
	TimeoutMs: 15000, GoalMs: 400, Priority: 2, MaxAttempts: 1,
}

// leavingBody returns the body of the answer to a request.
func leavingBody(id string) []byte {
	var b strings.Builder
	for i := 1; i <= leavingPieces; i++ {
		b.WriteString(piece(id, i))
	}
	return []byte(b.String())
}

// runServer is the main function of a server that is a process of its own. It prints its address, and a line for each
// request that it runs. unframed is whether some of its answers have no length.
func runServer(id, host string, unframed bool) int {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	fmt.Println(listener.Addr())
	server := &modelServer{id: id, unframed: unframed}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return failed
		}
		go server.serveConn(conn)
	}
}

// A modelServer serves streams and tells its load.
type modelServer struct {
	id               string
	unframed         bool // some of its answers have no length
	answers, running atomic.Int64
}

// serveConn serves the requests of a connection.
func (s *modelServer) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		requestID := request.Header.Get(headerID)
		if request.Header.Get(headerExpect) != s.id {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerID, requestID); err != nil {
				return
			}
			continue
		}
		unframed := s.unframed && s.answers.Add(1)%leavingUnframed == 1
		fmt.Printf("server %s runs %s; answer without a length %v\n", s.id, requestID, unframed)
		if s.writeStream(conn, requestID, unframed) != nil || unframed {
			return
		}
	}
}

// writeStream writes a stream.
func (s *modelServer) writeStream(conn net.Conn, requestID string, unframed bool) error {
	running := s.running.Add(1)
	defer s.running.Add(-1)
	framing := "Transfer-Encoding: chunked\r\n"
	if unframed {
		framing = ""
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.1\r\n%s: %s\r\nRyeford-Weight-Versions: 1\r\nRyeford-Server-Load: %d,0,%d\r\nContent-Type: text/event-stream\r\n%s\r\n",
		headerID, requestID, headerStamp, s.id, headerInstance, s.id, running, leavingSlots, framing)
	for i := 1; i <= leavingPieces && err == nil; i++ {
		time.Sleep(leavingGap)
		event := piece(requestID, i)
		if !unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		_, err = io.WriteString(conn, event)
	}
	if err == nil && !unframed {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err
}

// A serverProcess is a server that is a process of its own.
type serverProcess struct {
	*process
	id, address, zone string
}

// startServer starts a server and lists it.
func (s *setup) startServer(p *platform, id, zone string, unframed bool) (*serverProcess, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	server := &serverProcess{id: id, zone: zone}
	if server.process, err = start(s.dir, id, nil, program, "server", id, s.host, fmt.Sprint(unframed)); err != nil {
		return nil, err
	}
	for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(10 * time.Millisecond) {
		text, err := os.ReadFile(server.log)
		if line, _, ok := strings.Cut(string(text), "\n"); err == nil && ok {
			server.address = line
			return server, p.list(id, "ryeford-pool", zone, line, leavingSlots)
		}
	}
	server.kill()
	return nil, fmt.Errorf("server %s doesn't listen", id)
}

func runLeaving(s *setup) (int, error) {
	p, err := newPlatform(s.host)
	if err != nil {
		return failed, err
	}
	defer p.close()
	var servers []*serverProcess
	defer func() {
		for _, server := range servers {
			server.kill()
			s.copyRuns(server)
		}
	}()
	add := func(unframed bool) (*serverProcess, error) {
		server, err := s.startServer(p, fmt.Sprintf("i-7f3a%02x", len(servers)), zones[len(servers)%len(zones)], unframed)
		if err == nil {
			servers = append(servers, server)
		}
		return server, err
	}
	for range leavingServers - 1 {
		if _, err := add(false); err != nil {
			return failed, err
		}
	}
	if err := p.configure([]string{"ryeford-pool"}, []route{leavingRoute}); err != nil {
		return failed, err
	}
	g, err := p.startGateway(s.dir, "front-1", zones[0])
	if err != nil {
		return failed, err
	}
	defer g.kill()
	defer keepProbing(g.ready)()
	counts := &streamCounts{}
	for wave := range leavingWaves {
		leaving, err := add(true)
		if err != nil {
			return failed, err
		}
		time.Sleep(contact) // the gateway is in touch with the store, and knows the server
		if err := s.playLeaving(p, g, leaving, wave, counts); err != nil {
			return failed, err
		}
	}
	sent := int64(leavingWaves * leavingClients)
	s.record.add("%d requests: %s", sent, counts)
	switch {
	case counts.partial.Load() > 0:
		return broken, nil
	case !s.trouble && counts.whole.Load() < sent:
		return failed, fmt.Errorf("%d of %d requests served without trouble", counts.whole.Load(), sent)
	}
	return held, nil
}

// playLeaving sends requests and lets a server leave, and crash, while they are answered.
func (s *setup) playLeaving(p *platform, g *gateway, leaving *serverProcess, wave int, counts *streamCounts) error {
	var group sync.WaitGroup
	defer group.Wait()
	for n := range leavingClients {
		id := fmt.Sprintf("%04x%04x%08x", wave+1, n, 0x9c41d000)
		group.Go(func() { s.sendReply(g, id, counts) })
	}
	time.Sleep(drainAfter)
	s.record.add("server %s states that it is draining", leaving.id)
	if err := p.drain(leaving.id, "ryeford-pool", leaving.zone, leaving.address, leavingSlots); err != nil {
		return err
	}
	time.Sleep(crashAfter)
	if s.trouble {
		s.record.add("server %s crashes", leaving.id)
		leaving.kill()
	}
	group.Wait()
	s.record.add("server %s has ended, and its entry is removed", leaving.id)
	p.remove(leaving.id)
	leaving.kill()
	return nil
}

// copyRuns copies what a server has run into the record.
func (s *setup) copyRuns(server *serverProcess) {
	text, err := os.ReadFile(server.log)
	if err != nil {
		return
	}
	for line := range strings.Lines(string(text)) {
		s.record.add("said by %s: %s", server.id, strings.TrimSpace(line))
	}
}

// sendReply sends one request and compares the answer with what the server sends.
func (s *setup) sendReply(g *gateway, id string, counts *streamCounts) {
	ctx, cancel := context.WithTimeout(context.Background(), leavingDeadline)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	request, err := newRequest(ctx, g, "/reply/a", id, leavingDeadline, bytes.Repeat([]byte{'x'}, 1400))
	if err != nil {
		counts.failures.Add(1)
		return
	}
	a := exchange(client, request)
	s.record.add("the client gets for %s: status %d, stamp %q, %d pieces, err %v", id, a.status, a.stamp, strings.Count(string(a.body), "\n\n"), a.err)
	switch {
	case a.err != nil || a.status != http.StatusOK:
		counts.failures.Add(1)
	case bytes.Equal(a.body, leavingBody(id)):
		counts.whole.Add(1)
	default:
		counts.partial.Add(1)
	}
}
