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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ryeford/ryeford/standin/rowstore"
)

// The case "versions". While the platform's store is down, a server crashes and starts again under its ID with another
// version of its software, which it can't state in its entry. Then another server crashes, and its streams go on.

const (
	versionServers  = 4
	versionClients  = 80
	versionPieces   = 30                     // the most of next-line on the sheet
	versionGap      = 100 * time.Millisecond // between pieces
	versionDeadline = 4 * time.Second
	versionSlots    = 64
	versionAllowed  = 2 // streams, by the rule

	outage       = 5300 * time.Millisecond
	firstCrash   = 100 * time.Millisecond // after the store went down
	firstDown    = 500 * time.Millisecond // until that server is back
	secondCrash  = 4700 * time.Millisecond
	versionCalm  = 4 * time.Second // traffic before and after the outage
	oldVersion   = "v1"
	otherVersion = "v1.1"
)

// versionRoute is the route of a kind of request of the sheet. It needs no key.
var versionRoute = route{
	Name: "next-line", Host: requestHost, Prefix: "/line/", Service: "ryeford-pool", Kind: "streaming",
	TimeoutMs: 4000, GoalMs: 500, MaxAttempts: 2, Resumable: true, Public: true,
}

// A versionServer is a model server whose events tell the version of its software.
type versionServer struct {
	id, zone string
	record   *record
	pieces   int // of each stream
	running  atomic.Int64

	mu       sync.Mutex
	address  string
	software string
	born     int64
	listener net.Listener
	conns    map[net.Conn]bool
}

// start starts the server, at its address if it has one.
func (s *versionServer) start(host, software string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.address == "" {
		s.address = net.JoinHostPort(host, "0")
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.listener, s.address, s.software, s.born = listener, listener.Addr().String(), software, time.Now().UnixMilli()
	s.conns = make(map[net.Conn]bool)
	s.record.add("server %s starts with version %s", s.id, software)
	go s.serve(listener, software)
	return nil
}

// crash closes the port and all connections.
func (s *versionServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.add("server %s, of version %s, crashes", s.id, s.software)
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *versionServer) serve(listener net.Listener, software string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serveConn(conn, software)
	}
}

func (s *versionServer) serveConn(conn net.Conn, software string) {
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
		if err := s.respond(conn, request, software); err != nil {
			return
		}
	}
}

// respond writes a stream from the event after the one that the request names.
func (s *versionServer) respond(conn net.Conn, request *http.Request, software string) error {
	id := request.Header.Get(headerID)
	if request.Header.Get(headerExpect) != s.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerID, id)
		return err
	}
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	s.record.add("server %s, of version %s, runs %s after event %d", s.id, software, id, last)
	running := s.running.Add(1)
	defer s.running.Add(-1)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.1\r\n%s: %s\r\nRyeford-Weight-Versions: 1\r\nRyeford-Server-Load: %d,0,%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerID, id, headerStamp, s.id, headerInstance, s.id, running, versionSlots)
	for i := last + 1; i <= s.pieces && err == nil; i++ {
		time.Sleep(versionGap)
		event := fmt.Sprintf("id: %d\ndata: %s piece %d of %s\n\n", i, software, i, id)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err
}

// listVersion writes the entry of a server.
func (p *platform) listVersion(s *versionServer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := p.store.PutJSON("servers", s.id, map[string]any{
		"service": "ryeford-pool", "address": s.address, "zone": s.zone, "version": s.software, "slots": versionSlots,
		"state": "ready", "coldMs": 0, "seq": 1, "born": s.born,
	})
	return err
}

// versionCounts counts the ends of the streams.
type versionCounts struct {
	whole, joined, failures atomic.Int64
}

func runVersions(s *setup) (int, error) {
	p, err := newPlatform(s.host)
	if err != nil {
		return failed, err
	}
	defer p.close()
	var servers []*versionServer
	for i := range versionServers {
		server := &versionServer{id: fmt.Sprintf("i-7f3a%02x", i), zone: zones[i%len(zones)], record: s.record, pieces: versionPieces}
		if err := errors.Join(server.start(s.host, oldVersion), p.listVersion(server)); err != nil {
			return failed, err
		}
		servers = append(servers, server)
	}
	if err := p.configure([]string{"ryeford-pool"}, []route{versionRoute}); err != nil {
		return failed, err
	}
	g, err := p.startGateway(s.dir, "front-1", zones[0])
	if err != nil {
		return failed, err
	}
	defer g.kill()
	defer keepProbing(g.ready)()
	stop, counts := make(chan struct{}), &versionCounts{}
	var group sync.WaitGroup
	for i := range versionClients {
		group.Go(func() { s.sendLines(g, i, stop, counts) })
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(versionCalm)
	err = s.playOutage(p, servers)
	time.Sleep(versionCalm)
	close(stop)
	group.Wait()
	if err != nil {
		return failed, err
	}
	s.record.add("%d streams of one version, %d streams that hold events of two versions, %d failures", counts.whole.Load(), counts.joined.Load(), counts.failures.Load())
	switch {
	case counts.joined.Load() > versionAllowed:
		return broken, nil
	case !s.trouble && (counts.whole.Load() == 0 || counts.failures.Load() > 0):
		return failed, fmt.Errorf("%d streams whole, %d failed without trouble", counts.whole.Load(), counts.failures.Load())
	}
	return held, nil
}

// playOutage plays the trouble, or nothing for as long.
func (s *setup) playOutage(p *platform, servers []*versionServer) error {
	if !s.trouble {
		time.Sleep(outage)
		return nil
	}
	s.record.add("the platform's store is down")
	p.store.SetFault(rowstore.Fault{Silent: true})
	time.Sleep(firstCrash)
	servers[0].crash()
	time.Sleep(firstDown)
	if err := servers[0].start(s.host, otherVersion); err != nil {
		return err
	}
	time.Sleep(secondCrash - firstCrash - firstDown)
	servers[1].crash()
	time.Sleep(outage - secondCrash)
	s.record.add("the platform's store is back")
	p.store.SetFault(rowstore.Fault{})
	p.store.Remove("servers", servers[1].id)
	return p.listVersion(servers[0])
}

// sendLines sends one request after the other and checks the version of each event.
func (s *setup) sendLines(g *gateway, client int, stop <-chan struct{}, counts *versionCounts) {
	connections := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
			s.sendLine(g, connections, fmt.Sprintf("%04x%04x%08x", client, n, 0x9c41d000), counts)
		}
	}
}

func (s *setup) sendLine(g *gateway, connections *http.Client, id string, counts *versionCounts) {
	ctx, cancel := context.WithTimeout(context.Background(), versionDeadline)
	defer cancel()
	request, err := newRequest(ctx, g, "/line/a", id, versionDeadline, bytes.Repeat([]byte{'x'}, 4700))
	if err != nil {
		return
	}
	request.Header.Del("Authorization")
	a := exchange(connections, request)
	text := string(a.body)
	old, other := strings.Count(text, "data: "+oldVersion+" "), strings.Count(text, "data: "+otherVersion+" ")
	s.record.add("the client gets for %s: status %d, %d pieces of %s and %d of %s, err %v", id, a.status, old, oldVersion, other, otherVersion, a.err)
	switch {
	case old > 0 && other > 0:
		counts.joined.Add(1)
	case a.err == nil && a.status == http.StatusOK && old+other == versionPieces:
		counts.whole.Add(1)
	default:
		counts.failures.Add(1)
	}
}
