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
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case "truncated". Servers answer long requests before they have read them, without a length, and go on reading
// later. While a gateway still sends the rest of such a request, the network resets its connection, amid the answer.

const (
	truncatedGateways = 3
	truncatedServers  = 3
	truncatedWaves    = 5
	truncatedPerWave  = 4         // requests that each gateway gets at once
	truncatedResets   = 2         // of them, at the first gateway: x 0.5 of its connections
	truncatedRequest  = 1_000_000 // bytes of a request; limits.maxBodyBytes allows 4,194,304
	truncatedAnswer   = 4_800     // bytes of an answer, the most on the sheet
	truncatedDeadline = 4 * time.Second

	answerPause = 200 * time.Millisecond // between the halves of an answer
	readPause   = 200 * time.Millisecond // from the end of the answer until the server goes on reading

	linkSegment = 1460     // bytes: frames of the usual size, as between machines
	linkWindow  = 16 << 10 // bytes that may wait at a server that doesn't read
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

// wholeAnswer returns the body of the answer to a request.
func wholeAnswer(id string) []byte {
	return bytes.Repeat([]byte(id), truncatedAnswer/len(id))
}

// resets holds the requests whose connections the network resets.
type resets struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (r *resets) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids[id] = true
}

func (r *resets) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id]
}

// An earlyServer answers before it has read a request, and without a length.
type earlyServer struct {
	id     string
	record *record
	resets *resets
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

// serveConn serves the one request of a connection: an answer without a length ends with it.
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
	s.record.add("server %s runs %s and answers before it has read its %d bytes", s.id, id, request.ContentLength)
	answer := wholeAnswer(id)
	half := len(answer) / 2
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%d\r\n%s: %s\r\nContent-Type: text/plain\r\n\r\n",
		headerID, id, headerStamp, s.id, len(answer), headerInstance, s.id)
	_, _ = conn.Write(answer[:half])
	time.Sleep(answerPause)
	if s.resets.has(id) {
		s.record.add("the network resets the connection of %s after %d of %d bytes of the answer", id, half, len(answer))
		_ = conn.SetLinger(0)
		return
	}
	_, _ = conn.Write(answer[half:])
	time.Sleep(readPause)
	n, err := io.Copy(io.Discard, request.Body)
	s.record.add("server %s has sent the whole answer to %s and has read %d bytes of it, err %v", s.id, id, n, err)
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, reader)
}

// truncatedCounts counts the ends of the requests.
type truncatedCounts struct {
	whole, partial, failures atomic.Int64
}

func runTruncated(s *setup) (int, error) {
	p, err := newPlatform(s.host)
	if err != nil {
		return failed, err
	}
	defer p.close()
	network := &resets{ids: make(map[string]bool)}
	for i := range truncatedServers {
		listener, err := listenLink(s.host)
		if err != nil {
			return failed, err
		}
		defer func() { _ = listener.Close() }()
		server := &earlyServer{id: fmt.Sprintf("i-5d1f0%d", i), record: s.record, resets: network}
		go server.serve(listener)
		if err := p.list(server.id, "scriptdesk", zones[i%len(zones)], listener.Addr().String(), 6); err != nil {
			return failed, err
		}
	}
	err = p.configure([]string{"scriptdesk"}, []route{{
		Name: "script-fetch", Host: requestHost, Prefix: "/fetch/", Service: "scriptdesk", Kind: "unsafe",
		TimeoutMs: 4000, GoalMs: 300, Priority: 2, MaxAttempts: 1,
	}})
	if err != nil {
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
	counts := &truncatedCounts{}
	for wave := range truncatedWaves {
		s.sendWave(wave, gateways, network, counts)
		time.Sleep(time.Second)
	}
	sent := int64(truncatedWaves * truncatedGateways * truncatedPerWave)
	s.record.add("%d requests: %d successes with the whole body, %d successes with a part of it, %d failures",
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
func (s *setup) sendWave(wave int, gateways []*gateway, network *resets, counts *truncatedCounts) {
	var group sync.WaitGroup
	for i, g := range gateways {
		for n := range truncatedPerWave {
			id := fmt.Sprintf("%04x%04x%08x", wave+1, i+1, 0x9c41d000+n)
			if s.trouble && i == 0 && n < truncatedResets {
				network.add(id)
			}
			group.Go(func() { s.sendLong(g, id, counts) })
		}
	}
	group.Wait()
}

// sendLong sends one long request and compares the answer with what the server sent.
func (s *setup) sendLong(g *gateway, id string, counts *truncatedCounts) {
	ctx, cancel := context.WithTimeout(context.Background(), truncatedDeadline)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	request, err := newRequest(ctx, g, "/fetch/a", id, truncatedDeadline, bytes.Repeat([]byte{'x'}, truncatedRequest))
	if err != nil {
		counts.failures.Add(1)
		return
	}
	a := exchange(client, request)
	s.record.add("the client gets for %s: status %d, stamp %q, %d bytes, err %v", id, a.status, a.stamp, len(a.body), a.err)
	switch {
	case a.err != nil || a.status != http.StatusOK:
		counts.failures.Add(1)
	case bytes.Equal(a.body, wholeAnswer(id)):
		counts.whole.Add(1)
	default:
		counts.partial.Add(1)
	}
}
