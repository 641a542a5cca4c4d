//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/ryeford/ryeford/platform"
	"github.com/ryeford/ryeford/platform/wire"
)

func init() { cases["silence"] = playSilence }

const (
	summaryCallers = 6
	summaryEvents  = 17
	summaryStep    = 40 * time.Millisecond
	// preempted is how long the server is silent between the last event and the end of a stream. Callers of
	// the class call-summary wait for 2.4 s: four times its objective, or eight times its longest pause.
	preempted   = 2200 * time.Millisecond
	callerWaits = 2400 * time.Millisecond
	// sigtermDelay is the time from the requests to the SIGTERM.
	sigtermDelay  = 300 * time.Millisecond
	probeInterval = time.Second
	grace         = 8 * time.Second
	// maxUnanswered is how many streams may be cut by the rule.
	maxUnanswered = 0
)

// playSilence stops a gateway while streams run that are silent for a time before they end.
func playSilence(r *record, trouble bool) (verdict, error) {
	s := &summaryServer{record: r}
	if trouble {
		s.silent = preempted
	}
	var err error
	if s.rawServer, err = newRawServer("i-pool01", s.serveSummary); err != nil {
		return verdict{}, err
	}
	store, err := newStore(newConfiguration(wire.Route{
		Name: "call-summary", Prefix: "/summary/", Kind: wire.KindStream, TimeoutMs: 6000, GoalMs: 600, MaxAttempts: 1, Service: "ryeford-pool",
	}))
	if err != nil {
		return verdict{}, err
	}
	if err := store.list(s.id, "ryeford-pool", s.address, 64); err != nil {
		return verdict{}, err
	}
	g, err := newGateway(r, store.address, 53)
	if err != nil {
		return verdict{}, err
	}
	go probe(g)
	return s.stopWhileRunning(g)
}

// A summaryServer is a model server.
type summaryServer struct {
	*rawServer
	record *record
	silent time.Duration // between the last event and the end
}

// serveSummary runs a stream.
func (s *summaryServer) serveSummary(conn net.Conn, request *http.Request, _ []byte) bool {
	id := request.Header.Get(wire.HeaderRequestID)
	s.record.add("server: run of %s", id)
	head := s.head(request, "200 OK", s.stamp(request, 1), "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "Ryeford-Weight-Versions: 1")
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	for n := 1; n <= summaryEvents; n++ {
		time.Sleep(summaryStep)
		if _, err := io.WriteString(conn, chunk(fmt.Sprintf("id: %d\ndata: part %d\n\n", n, n))); err != nil {
			s.record.add("server: connection of %s closed after event %d", id, n-1)
			return false
		}
	}
	time.Sleep(s.silent)
	_, err := io.WriteString(conn, lastChunk)
	s.record.add("server: %s ended, error: %v", id, err)
	return err == nil
}

// stopWhileRunning sends SIGTERM to the gateway while streams run, and checks how they end.
func (s *summaryServer) stopWhileRunning(g *gateway) (verdict, error) {
	var callers sync.WaitGroup
	var mu sync.Mutex
	unanswered := 0
	for n := range summaryCallers {
		callers.Go(func() {
			if !s.call(g, n) {
				mu.Lock()
				defer mu.Unlock()
				unanswered++
			}
		})
	}
	time.Sleep(sigtermDelay)
	s.record.add("SIGTERM to the gateway")
	stopped := time.Now()
	if err := g.command.Process.Signal(syscall.SIGTERM); err != nil {
		return verdict{}, err
	}
	callers.Wait()
	err := g.command.Wait()
	s.record.add("gateway ended %.1f s after SIGTERM, error: %v", time.Since(stopped).Seconds(), err)
	if time.Since(stopped) > grace {
		return verdict{}, fmt.Errorf("the gateway took longer than %v", grace)
	}
	if unanswered > maxUnanswered {
		return verdict{broken: true, why: fmt.Sprintf("%d of %d streams that were passed on to a server, and ended there, ended without a complete answer", unanswered, summaryCallers)}, nil
	}
	return verdict{why: "every stream ended with a complete answer"}, nil
}

// call sends a stream and reports whether it was answered completely.
func (s *summaryServer) call(g *gateway, n int) bool {
	q := &call{
		method: http.MethodPost, path: "/summary/one", id: fmt.Sprintf("51c0ffee%08x", n), body: "{}", timeout: 6 * time.Second,
		headers: []string{"Ryeford-Model: m", "Ryeford-Token-Count: 9200,51", fmt.Sprintf("Ryeford-Prompt-Prefix: 5c1e07a2:8620,%x:580", 0xd0000000+n)},
	}
	s.record.add("caller sends %s", q.id)
	a := do(g.callers, q)
	s.record.add("caller received of %s: status %d, %d events, complete: %t, error: %v", q.id, a.status, len(parseEvents(a.body)), a.complete, a.err)
	return a.complete
}

// probe sends readiness probes, as the platform does, until the gateway has ended.
func probe(g *gateway) {
	for {
		time.Sleep(probeInterval)
		response, err := http.Get("http://" + g.readiness.String() + platform.PathReady)
		if err != nil {
			return
		}
		_ = response.Body.Close()
	}
}
