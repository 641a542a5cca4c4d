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
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case "junk". For some seconds, a model server spoils one in fifty of its answers: it sends bytes that are not an
// answer, as fast as the gateway's link takes them, until the deadline that it was handed. The gateway exceeds its
// memory, the platform kills it, and the requests that it has passed on to other, sound servers end without an answer.

const (
	junkModelServers = 3
	junkDeskServers  = 3
	junkDeskClients  = 12
	junkModelClients = 12
	junkTroubleAt    = 5 * time.Second // after the start of traffic
	junkTroubleFor   = 5 * time.Second
	junkLength       = 12 * time.Second
	junkOneIn        = 50                // answers: x 0.02
	junkBytesPerS    = 1_000_000_000 / 8 // limits.linkMbps of the sheet
	junkChunk        = 256 << 10         // bytes
	memoryMB         = 284               // limits.memoryMb of the sheet
	junkPieces       = 8
	junkGap          = 10 * time.Millisecond
	deskWork         = 300 * time.Millisecond
	deskDeadline     = 4 * time.Second
	modelDeadline    = 6 * time.Second
	lostAllowed      = 3 // requests, by the rule
)

// A keptServer serves requests on connections that are kept.
type keptServer struct {
	id      string
	record  *record
	respond func(s *keptServer, conn net.Conn, request *http.Request, id string) error
	spoils  atomic.Bool // one in junkOneIn of the answers is no answer
	answers atomic.Int64

	mu  sync.Mutex
	ran map[string]bool
}

func (s *keptServer) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *keptServer) serveConn(conn net.Conn) {
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
		id := request.Header.Get(headerID)
		if request.Header.Get(headerExpect) != s.id {
			_, err = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerID, id)
		} else {
			s.start(id)
			err = s.respond(s, conn, request, id)
		}
		if err != nil {
			return
		}
	}
}

// start records that the server runs a request.
func (s *keptServer) start(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[id] = true
	s.record.add("server %s runs %s", s.id, id)
}

// hasRun reports whether the server has run a request.
func (s *keptServer) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// head returns the head of a success, without what ends it.
func (s *keptServer) head(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.1\r\n%s: %s\r\n", headerID, id, headerStamp, s.id, headerInstance, s.id)
}

// respondDesk answers as an application server does.
func respondDesk(s *keptServer, conn net.Conn, _ *http.Request, id string) error {
	time.Sleep(deskWork)
	_, err := fmt.Fprintf(conn, "%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", s.head(id), len(id), id)
	return err
}

// respondModel answers with a stream, or spoils the answer.
func respondModel(s *keptServer, conn net.Conn, request *http.Request, id string) error {
	if s.spoils.Load() && s.answers.Add(1)%junkOneIn == 0 {
		return s.spoil(conn, request, id)
	}
	_, err := fmt.Fprintf(conn, "%sContent-Type: text/event-stream\r\nRyeford-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n", s.head(id))
	for i := 1; i <= junkPieces && err == nil; i++ {
		time.Sleep(junkGap)
		event := piece(id, i)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err
}

// spoil sends bytes that are not an answer until the request's deadline has passed or the connection is closed.
func (s *keptServer) spoil(conn net.Conn, request *http.Request, id string) error {
	deadline, err := strconv.Atoi(request.Header.Get(headerDeadline))
	if err != nil {
		return err
	}
	s.record.add("server %s sends bytes that are not an answer to %s", s.id, id)
	began, sent := time.Now(), 0
	chunk := bytes.Repeat([]byte{'z'}, junkChunk)
	for err == nil && time.Since(began) < time.Duration(deadline)*time.Millisecond {
		due := time.Duration(float64(sent) / junkBytesPerS * float64(time.Second))
		time.Sleep(due - time.Since(began))
		var n int
		n, err = conn.Write(chunk)
		sent += n
	}
	s.record.add("server %s has sent %d such bytes in %s, err %v", s.id, sent, time.Since(began).Round(time.Millisecond), err)
	return io.ErrClosedPipe
}

// junkResults are the ends of the requests.
type junkResults struct {
	mu       sync.Mutex
	served   int
	failures int
	cut      []string // requests whose kept connection was closed without an answer
}

// A keptClient sends one request after the other on a connection that it keeps.
type keptClient struct {
	number   int
	path     string
	body     int // bytes
	deadline time.Duration
	gateway  *gateway
	record   *record
	results  *junkResults
}

func (c *keptClient) run(stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	for n := 0; c.gateway.running(); n++ {
		select {
		case <-stop:
			return
		default:
			c.call(client, fmt.Sprintf("%04x%04x%08x", c.number, n, 0x5a5a0000))
		}
	}
}

// call sends one request.
func (c *keptClient) call(client *http.Client, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	kept := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), c.gateway, c.path, id, c.deadline, bytes.Repeat([]byte{'p'}, c.body))
	if err != nil {
		return
	}
	a := exchange(client, request)
	c.record.add("client %d gets for %s: status %d, %d bytes, on a kept connection %v, err %v", c.number, id, a.status, len(a.body), kept, a.err)
	c.results.mu.Lock()
	defer c.results.mu.Unlock()
	switch {
	case a.err == nil && a.status == http.StatusOK:
		c.results.served++
	case a.status == 0 && kept && ctx.Err() == nil:
		c.results.cut = append(c.results.cut, id)
	default:
		c.results.failures++
	}
}

// startServers starts servers of a service and lists them.
func (s *setup) startServers(p *platform, name string, n, slots int, respond func(*keptServer, net.Conn, *http.Request, string) error) ([]*keptServer, error) {
	var servers []*keptServer
	for i := range n {
		listener, err := net.Listen("tcp", net.JoinHostPort(s.host, "0"))
		if err != nil {
			return nil, err
		}
		server := &keptServer{id: fmt.Sprintf("i-%s-%d", name[:4], i), record: s.record, respond: respond, ran: make(map[string]bool)}
		go server.serve(listener)
		if err := p.list(server.id, name, zones[i%len(zones)], listener.Addr().String(), slots); err != nil {
			return nil, err
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// killAtLimit kills a gateway once it holds more than its memory, as the platform does. It returns the most that the
// gateway has held, once it has ended or stop is closed.
func (s *setup) killAtLimit(g *gateway, stop <-chan struct{}) (peak int, killed bool) {
	for g.running() {
		mb := g.residentMB()
		peak = max(peak, mb)
		if mb > memoryMB {
			s.record.add("the gateway holds %d MB of %d MB, and the platform kills it", mb, memoryMB)
			g.signal(syscall.SIGKILL)
			return peak, true
		}
		select {
		case <-stop:
			return peak, false
		case <-time.After(10 * time.Millisecond):
		}
	}
	return peak, false
}

func runJunk(s *setup) (int, error) {
	p, err := newPlatform(s.host)
	if err != nil {
		return failed, err
	}
	defer p.close()
	desk, err := s.startServers(p, "scriptdesk", junkDeskServers, 6, respondDesk)
	if err != nil {
		return failed, err
	}
	models, err := s.startServers(p, "ryeford-pool", junkModelServers, 64, respondModel)
	if err != nil {
		return failed, err
	}
	err = p.configure([]string{"scriptdesk", "ryeford-pool"}, []route{
		{Name: "script-fetch", Host: requestHost, Prefix: "/fetch/", Service: "scriptdesk", Kind: "unsafe", TimeoutMs: 2000, GoalMs: 300, Priority: 2, MaxAttempts: 1},
		{Name: "call-summary", Host: requestHost, Prefix: "/summary/", Service: "ryeford-pool", Kind: "streaming", TimeoutMs: 6000, GoalMs: 600, Priority: 1, MaxAttempts: 1},
	})
	if err != nil {
		return failed, err
	}
	g, err := p.startGateway(s.dir, "front-1", zones[0])
	if err != nil {
		return failed, err
	}
	defer g.kill()
	defer keepProbing(g.ready)()
	stop, results := make(chan struct{}), &junkResults{}
	var group sync.WaitGroup
	var peak int
	var killed bool
	group.Go(func() { peak, killed = s.killAtLimit(g, stop) })
	for i := range junkDeskClients + junkModelClients {
		client := &keptClient{number: i, path: "/fetch/a", body: 600, deadline: deskDeadline, gateway: g, record: s.record, results: results}
		if i >= junkDeskClients {
			client.path, client.body, client.deadline = "/summary/a", 18_000, modelDeadline
		}
		group.Go(func() { client.run(stop) })
	}
	time.Sleep(junkTroubleAt)
	models[0].spoils.Store(s.trouble)
	time.Sleep(junkTroubleFor)
	models[0].spoils.Store(false)
	time.Sleep(junkLength - junkTroubleAt - junkTroubleFor)
	close(stop)
	group.Wait()
	lost := 0
	for _, id := range results.cut {
		for _, server := range append(desk, models[1:]...) {
			if server.hasRun(id) {
				s.record.add("lost: %s ran at the sound server %s, and its kept connection was closed without an answer", id, server.id)
				lost++
			}
		}
	}
	s.record.add("the gateway held %d MB at most, killed %v; %d requests served, %d failed, %d lost", peak, killed, results.served, results.failures, lost)
	switch {
	case lost > lostAllowed:
		return broken, nil
	case !s.trouble && (results.served == 0 || results.failures > 0 || killed):
		return failed, fmt.Errorf("%d served, %d failed, killed %v without trouble", results.served, results.failures, killed)
	}
	return held, nil
}
