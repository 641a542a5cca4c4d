//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ryeford/ryeford/platform/wire"
)

func init() { cases["slow"] = playSlow }

// slowPrefix is the path of long streams that have neither a length nor chunks and end with their connection.
const slowPrefix = "/long/"

const (
	slowServers = 4
	slowStreams = 16
	slowEvents  = 350
	slowText    = 1400 // bytes of an event
	slowStep    = 20 * time.Millisecond
	slowTimeout = 30 * time.Second
	// slowCrash is the time from the requests to the SIGKILL of a server, and slowDown the time until its next start.
	slowCrash = 5 * time.Second
	slowDown  = 2 * time.Second
	// slowRead bytes are what a caller reads at once, and slowPause the time between two reads: 32 KB a second, of the
	// 70 that a server makes.
	slowRead  = 800
	slowPause = 25 * time.Millisecond
	// slowBuffer is the receive buffer of a caller's connection, and slowSegment the size of its segments, in bytes.
	slowBuffer  = 8 << 10
	slowSegment = 1460
)

// streamSlow runs a long stream that ends with its connection.
func streamSlow(s *rawServer, conn net.Conn, request *http.Request) bool {
	name := request.Header.Get(wire.HeaderRequestID)
	fmt.Printf("run %s\n", name)
	head := s.head(request, "200 OK", s.stamp(request, 1), "Content-Type: text/event-stream", "Connection: close", "Ryeford-Weight-Versions: 1")
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	for n := 1; n <= slowEvents; n++ {
		time.Sleep(slowStep)
		if _, err := io.WriteString(conn, fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("t", slowText))); err != nil {
			fmt.Printf("closed %s %d\n", name, n)
			return false
		}
	}
	fmt.Printf("ended %s\n", name)
	return false
}

// playSlow kills a model server and starts it again, while callers read its streams slowly: the gateway reads the end of
// these streams only after that.
func playSlow(r *record, trouble bool) (verdict, error) {
	store, err := newStore(newConfiguration(wire.Route{
		Name: "reply-stream", Prefix: slowPrefix, Kind: wire.KindStream, TimeoutMs: float64(slowTimeout.Milliseconds()), GoalMs: 400, MaxAttempts: 1, Service: "ryeford-pool",
	}))
	if err != nil {
		return verdict{}, err
	}
	f := &frozenCase{record: r, store: store, running: make(map[string]map[string]bool)}
	for n := range slowServers {
		server, err := startModelServer(fmt.Sprintf("i-pool%02d", n))
		if err != nil {
			return verdict{}, err
		}
		if err := f.add(server); err != nil {
			return verdict{}, err
		}
	}
	if f.gateway, err = newGateway(r, store.address, 56); err != nil {
		return verdict{}, err
	}
	return f.playSlowly(trouble)
}

func (f *frozenCase) playSlowly(trouble bool) (verdict, error) {
	var callers sync.WaitGroup
	for n := range slowStreams {
		callers.Go(func() { f.callSlowly(n) })
	}
	if trouble {
		time.Sleep(slowCrash)
		if err := f.crash(); err != nil {
			return verdict{}, err
		}
	}
	callers.Wait()
	if len(f.early) > 0 {
		return verdict{broken: true, why: fmt.Sprintf("%d of %d streams ended as complete before their last piece: %s", len(f.early), slowStreams, strings.Join(f.early, ", "))}, nil
	}
	return verdict{why: "every stream that ended as complete had all its pieces"}, nil
}

// crash kills the server with the most streams and starts another one at its address.
func (f *frozenCase) crash() error {
	m := f.busiest()
	f.record.add("SIGKILL to server %s", m.id)
	if err := m.command.Process.Kill(); err != nil {
		return err
	}
	time.AfterFunc(maxBeats*beatTime, func() { f.store.Remove(wire.TableEndpoints, m.id) })
	time.Sleep(slowDown)
	next, err := startModelServerAt(m.id+"b", m.address.String())
	if err != nil {
		return err
	}
	f.record.add("server %s starts again as %s", m.id, next.id)
	return f.add(next)
}

// callSlowly calls a stream, reads it slowly and checks how it ends.
func (f *frozenCase) callSlowly(n int) {
	q := &call{
		method: http.MethodPost, path: slowPrefix + "one", id: fmt.Sprintf("510e0000%08x", n), body: "{}", timeout: slowTimeout,
		headers: []string{"Ryeford-Model: m", "Ryeford-Token-Count: 713,4200", fmt.Sprintf("Ryeford-Prompt-Prefix: %x:603,%x:110", 0x5c1e07a0+n, 0xe4402b00+n)},
	}
	f.record.add("caller sends %s", q.id)
	a := doSlowly(f.gateway.callers.String(), q)
	events := len(parseEvents(a.body))
	f.record.add("caller received of %s: status %d, stamp %q, %d of %d events, complete: %t, error: %v", q.id, a.status, a.header.Get(wire.HeaderSignature), events, slowEvents, a.complete, a.err)
	if a.status == http.StatusOK && a.complete && events < slowEvents {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.early = append(f.early, fmt.Sprintf("%s with %d of %d", q.id, events, slowEvents))
	}
}

// doSlowly sends a request on a new connection and reads the answer slowly.
func doSlowly(to string, q *call) answer {
	dialer := net.Dialer{Control: limitBuffer}
	conn, err := dialer.DialContext(context.Background(), "tcp", to)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	c := &connection{Conn: conn, reader: bufio.NewReaderSize(&slowReader{conn}, slowRead)}
	if err := c.send(q); err != nil {
		return answer{err: err}
	}
	return c.receive(q)
}

// limitBuffer limits the receive buffer of a connection and the size of its segments.
func limitBuffer(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBuffer),
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, slowSegment))
	})
	return errors.Join(err, failure)
}

// A slowReader reads at most slowRead bytes every slowPause.
type slowReader struct{ io.Reader }

// Read implements io.Reader.
func (r *slowReader) Read(p []byte) (int, error) {
	time.Sleep(slowPause)
	return r.Reader.Read(p[:min(len(p), slowRead)])
}
