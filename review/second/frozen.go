//go:build review

package main

import (
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

func init() { cases["frozen"] = playFrozen }

// unframedPrefix is the path of streams that have neither a length nor chunks and end with their connection.
const unframedPrefix = "/plain/"

const (
	frozenServers = 6
	frozenStreams = 12
	plainEvents   = 18
	plainStep     = 200 * time.Millisecond
	// stopDelay is the time from the requests to the SIGSTOP of the gateway, and frozenFor the time until its
	// SIGCONT. It is below the 2.4 s for which callers wait for the next event.
	stopDelay = 700 * time.Millisecond
	frozenFor = 2200 * time.Millisecond
	// crashDelay is the time from the SIGSTOP to the SIGKILL of a server, and downFor the time until its next
	// start.
	crashDelay = 150 * time.Millisecond
	downFor    = 1500 * time.Millisecond
	beatTime   = 1200 * time.Millisecond
	maxBeats   = 3 // heartbeats of silence, after which an entry goes
)

// streamUnframed runs a stream that ends with its connection.
func streamUnframed(s *rawServer, conn net.Conn, request *http.Request) bool {
	name := request.Header.Get(wire.HeaderRequestID)
	fmt.Printf("run %s\n", name)
	head := s.head(request, "200 OK", s.stamp(request, 1), "Content-Type: text/event-stream", "Connection: close", "Ryeford-Weight-Versions: 1")
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	for n := 1; n <= plainEvents; n++ {
		time.Sleep(plainStep)
		if _, err := io.WriteString(conn, fmt.Sprintf("id: %d\ndata: part %d\n\n", n, n)); err != nil {
			fmt.Printf("closed %s %d\n", name, n)
			return false
		}
		fmt.Printf("sent %s %d\n", name, n)
	}
	fmt.Printf("ended %s\n", name)
	return false
}

// playFrozen stops a gateway, and kills a model server and starts it again before the gateway goes on.
func playFrozen(r *record, trouble bool) (verdict, error) {
	store, err := newStore(newConfiguration(wire.Route{
		Name: "reply-stream", Prefix: unframedPrefix, Kind: wire.KindStream, TimeoutMs: 15000, GoalMs: 400, MaxAttempts: 1, Service: "ryeford-pool",
	}))
	if err != nil {
		return verdict{}, err
	}
	f := &frozenCase{record: r, store: store, running: make(map[string]map[string]bool)}
	for n := range frozenServers {
		server, err := startModelServer(fmt.Sprintf("i-pool%02d", n))
		if err != nil {
			return verdict{}, err
		}
		if err := f.add(server); err != nil {
			return verdict{}, err
		}
	}
	if f.gateway, err = newGateway(r, store.address, 54); err != nil {
		return verdict{}, err
	}
	return f.play(trouble)
}

// A frozenCase is the state of the case.
type frozenCase struct {
	record  *record
	store   *storeServer
	gateway *gateway

	mu      sync.Mutex
	servers []*modelServer
	running map[string]map[string]bool // streams by the ID of the server that runs them
	early   []string                   // streams that ended as complete before their last event
}

// add lists a server and records what it prints.
func (f *frozenCase) add(m *modelServer) error {
	f.mu.Lock()
	f.servers = append(f.servers, m)
	f.running[m.id] = make(map[string]bool)
	f.mu.Unlock()
	go func() {
		for line := range m.lines {
			f.record.add("server %s: %s", m.id, line)
			fields := strings.Fields(line)
			f.mu.Lock()
			switch fields[0] {
			case "run":
				f.running[m.id][fields[1]] = true
			case "ended", "closed":
				delete(f.running[m.id], fields[1])
			}
			f.mu.Unlock()
		}
	}()
	return f.store.list(m.id, "ryeford-pool", m.address, 64)
}

// busiest returns the server that runs the most streams.
func (f *frozenCase) busiest() *modelServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := f.servers[0]
	for _, m := range f.servers {
		if len(f.running[m.id]) > len(f.running[found.id]) {
			found = m
		}
	}
	return found
}

func (f *frozenCase) play(trouble bool) (verdict, error) {
	var callers sync.WaitGroup
	for n := range frozenStreams {
		callers.Go(func() { f.call(n) })
	}
	time.Sleep(stopDelay)
	if trouble {
		if err := f.disrupt(); err != nil {
			return verdict{}, err
		}
	}
	callers.Wait()
	if len(f.early) > 0 {
		return verdict{broken: true, why: fmt.Sprintf("%d of %d streams ended as complete before their last piece: %s", len(f.early), frozenStreams, strings.Join(f.early, ", "))}, nil
	}
	return verdict{why: "every stream that ended as complete had all its pieces"}, nil
}

// disrupt plays the disruption.
func (f *frozenCase) disrupt() error {
	process := f.gateway.command.Process
	f.record.add("SIGSTOP to the gateway")
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	stopped := time.Now()
	time.Sleep(crashDelay)
	m := f.busiest()
	f.record.add("SIGKILL to server %s", m.id)
	if err := m.command.Process.Kill(); err != nil {
		return err
	}
	time.AfterFunc(maxBeats*beatTime, func() { f.store.Remove(wire.TableEndpoints, m.id) })
	time.Sleep(downFor)
	next, err := startModelServerAt(m.id+"b", m.address.String())
	if err != nil {
		return err
	}
	f.record.add("server %s starts again as %s", m.id, next.id)
	if err := f.add(next); err != nil {
		return err
	}
	time.Sleep(time.Until(stopped.Add(frozenFor)))
	f.record.add("SIGCONT to the gateway")
	return process.Signal(syscall.SIGCONT)
}

// call calls a stream and checks how it ends.
func (f *frozenCase) call(n int) {
	q := &call{
		method: http.MethodPost, path: unframedPrefix + "one", id: fmt.Sprintf("f70e0000%08x", n), body: "{}", timeout: 15 * time.Second,
		headers: []string{"Ryeford-Model: m", "Ryeford-Token-Count: 713,54", fmt.Sprintf("Ryeford-Prompt-Prefix: %x:603,%x:110", 0x5c1e07a0+n, 0xe4402b00+n)},
	}
	f.record.add("caller sends %s", q.id)
	a := do(f.gateway.callers, q)
	events := len(parseEvents(a.body))
	f.record.add("caller received of %s: status %d, %d of %d events, complete: %t, error: %v", q.id, a.status, events, plainEvents, a.complete, a.err)
	if a.status == http.StatusOK && a.complete && events < plainEvents {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.early = append(f.early, fmt.Sprintf("%s with %d of %d", q.id, events, plainEvents))
	}
}
