//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/ryeford/ryeford/platform/wire"
)

func init() { cases["joined"] = playJoined }

const (
	joinedServers = 6
	joinedStreams = 5
	killedStream  = 3 // the stream whose server is killed
	// killDelay is the time from the event after which the server is killed. It is below eventPause, so that
	// the kill falls between two events.
	killDelay = 30 * time.Millisecond
)

// playJoined kills a model server between two events of a stream that may be resumed. The last event
// before the kill has a line of 4096 bytes.
func playJoined(r *record, trouble bool) (verdict, error) {
	store, err := newStore(newConfiguration(wire.Route{
		Name: "next-line", Prefix: "/next/", Kind: wire.KindStream, Resumable: true, TimeoutMs: 4000, GoalMs: 500, MaxAttempts: 2, Service: "ryeford-pool",
	}))
	if err != nil {
		return verdict{}, err
	}
	k := &killer{record: r, trouble: trouble, id: streamID(killedStream)}
	for n := range joinedServers {
		server, err := startModelServer(fmt.Sprintf("i-pool%02d", n))
		if err != nil {
			return verdict{}, err
		}
		if err := store.list(server.id, "ryeford-pool", server.address, 64); err != nil {
			return verdict{}, err
		}
		go k.follow(server)
	}
	g, err := newGateway(r, store.address, 51)
	if err != nil {
		return verdict{}, err
	}
	result := verdict{why: "every stream that ended as complete had each event once"}
	for n := 1; n <= joinedStreams; n++ {
		if why := playStream(r, g, n); why != "" {
			result = verdict{broken: true, why: why}
		}
	}
	return result, nil
}

func streamID(n int) string { return fmt.Sprintf("9c41d07be2a3%04x", n) }

// playStream calls a stream and returns what is wrong with its events, or "".
func playStream(r *record, g *gateway, n int) string {
	q := &call{
		method: http.MethodPost, path: "/next/line", id: streamID(n), body: "{}", timeout: 4 * time.Second,
		headers: []string{"Ryeford-Model: m", "Ryeford-Token-Count: 2401,40", fmt.Sprintf("Ryeford-Prompt-Prefix: 5c1e07a2:800,91bd3f06:1241,%x:360", 0xe4402b00+n)},
	}
	r.add("caller sends stream %s", q.id)
	a := do(g.callers, q)
	events := parseEvents(a.body)
	r.add("caller received of %s: status %d, %d bytes, %d events, complete: %t", q.id, a.status, len(a.body), len(events), a.complete)
	if a.status != http.StatusOK || !a.complete {
		return "" // a failure that looks like one
	}
	for i := range streamEvents {
		want := event{id: fmt.Sprint(i + 1), data: eventData(i + 1)}
		if i < len(events) && events[i] == want {
			continue
		}
		why := fmt.Sprintf("stream %s ended as complete, and piece %s is missing", q.id, want.id)
		if i < len(events) {
			why += fmt.Sprintf(": piece %s came there with %d bytes of data, which begin %.12q and end %.12q", events[i].id, len(events[i].data), events[i].data, events[i].data[max(0, len(events[i].data)-12):])
		}
		r.add("%s", why)
		return why
	}
	return ""
}

// A killer kills the model server of one stream after the event longEvent, once.
type killer struct {
	record  *record
	trouble bool
	id      string
	once    sync.Once
}

// follow records what a model server prints, and kills it when it is due.
func (k *killer) follow(m *modelServer) {
	for line := range m.lines {
		k.record.add("server %s: %s", m.id, line)
		if k.trouble && line == fmt.Sprintf("sent %s %d", k.id, longEvent) {
			k.once.Do(func() {
				time.Sleep(killDelay)
				k.record.add("SIGKILL to server %s", m.id)
				_ = m.command.Process.Kill()
			})
		}
	}
}
