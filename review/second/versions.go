//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ryeford/ryeford/platform/wire"
)

func init() { cases["versions"] = playVersions }

// versionPrefix is the path of streams whose events name the version of the server that wrote them. It is
// followed by the number of events.
const versionPrefix = "/versioned/"

const (
	versionOld, versionNew = "v1", "v2"
	oldServers, newServers = 2, 6
	versionEvents          = 40
	versionStep            = 100 * time.Millisecond
	versionStreams         = 5 // at the server that is lost
	otherStreams           = 2 // at each server of the newer version
	// maxJoined is how many streams may hold events of two versions.
	maxJoined = 2
	// backAfter is the time from the first SIGKILL to the next start of that server, lostAfter that to the second
	// SIGKILL, and listedAfter that to the entry of the next start: 0.8 s after it, the lag_ms of the site file.
	backAfter   = 1000 * time.Millisecond
	lostAfter   = 1300 * time.Millisecond
	listedAfter = 1800 * time.Millisecond
	// maxProbes bounds the prompts that are tried to find enough whose streams begin at each server.
	maxProbes = 400
	// startPause is the time between the begins of two streams, so that the gateway knows of the earlier one.
	startPause = 20 * time.Millisecond
)

// streamVersioned runs a stream whose events name the server's version. Every server serves it after any event.
func streamVersioned(s *rawServer, conn net.Conn, request *http.Request, version string) bool {
	last, _ := strconv.Atoi(request.Header.Get(wire.HeaderLastEvent)) // zero if there is none
	events, err := strconv.Atoi(strings.TrimPrefix(request.URL.Path, versionPrefix))
	if err != nil {
		return false
	}
	fmt.Printf("run %s after %d by %s\n", request.Header.Get(wire.HeaderRequestID), last, version)
	head := s.head(request, "200 OK", s.stamp(request, 1), "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "Ryeford-Weight-Versions: 1")
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	for n := last + 1; n <= events; n++ {
		if events > 1 {
			time.Sleep(versionStep)
		}
		if _, err := io.WriteString(conn, chunk(fmt.Sprintf("id: %d\ndata: part %d by %s\n\n", n, n, version))); err != nil {
			return false
		}
	}
	_, err = io.WriteString(conn, lastChunk)
	return err == nil
}

// A versionCase is the state of the case.
type versionCase struct {
	record  *record
	store   *storeServer
	gateway *gateway

	mu     sync.Mutex
	ranAt  map[string]string // by request: the server that ran it first
	joined []string          // streams that hold events of two versions
	whole  int
}

// playVersions kills a server that runs no stream, starts it again under its ID as another version, and kills
// the last other server of its former version.
func playVersions(r *record, trouble bool) (verdict, error) {
	store, err := newStore(newConfiguration(wire.Route{
		Name: "next-line", Prefix: versionPrefix, Kind: wire.KindStream, Resumable: true, TimeoutMs: 15000, GoalMs: 500, MaxAttempts: 2, Service: "ryeford-pool",
	}))
	if err != nil {
		return verdict{}, err
	}
	v := &versionCase{record: r, store: store, ranAt: make(map[string]string)}
	var servers []*modelServer
	for n := range oldServers + newServers {
		version := versionNew
		if n < oldServers {
			version = versionOld
		}
		m, err := v.startServer(fmt.Sprintf("i-pool%02d", n), "127.0.0.1:0", version)
		if err != nil {
			return verdict{}, err
		}
		if err := v.list(m, version); err != nil {
			return verdict{}, err
		}
		servers = append(servers, m)
	}
	if v.gateway, err = newGateway(r, store.address, 55); err != nil {
		return verdict{}, err
	}
	return v.play(servers[0], servers[1], trouble)
}

// startServer starts a server and records what it prints.
func (v *versionCase) startServer(id, address, version string) (*modelServer, error) {
	if err := os.Setenv(versionVariable, version); err != nil {
		return nil, err
	}
	m, err := startModelServerAt(id, address)
	if err != nil {
		return nil, err
	}
	go func() {
		for line := range m.lines {
			v.record.add("server %s: %s", id, line)
			if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "run" {
				v.mu.Lock()
				if v.ranAt[fields[1]] == "" {
					v.ranAt[fields[1]] = id
				}
				v.mu.Unlock()
			}
		}
	}()
	return m, nil
}

// list writes the entry of a server that has just started.
func (v *versionCase) list(m *modelServer, version string) error {
	v.record.add("entry of server %s: version %s", m.id, version)
	_, err := v.store.PutJSON(wire.TableEndpoints, m.id, wire.Endpoint{
		Service: "ryeford-pool", Address: m.address.String(), FailureDomain: "zg-a", Version: version, Slots: 64, State: wire.StateReady,
		Sequence: 1, Born: time.Now().UnixMilli(),
	})
	return err
}

// play runs streams at last, while idle is killed and comes back, and then kills last.
func (v *versionCase) play(idle, last *modelServer, trouble bool) (verdict, error) {
	prompts, err := v.findPrompts(idle.id, last.id)
	if err != nil {
		return verdict{}, err
	}
	var callers sync.WaitGroup
	for n, prompt := range prompts {
		callers.Go(func() { v.call(n, prompt) })
		time.Sleep(startPause)
	}
	time.Sleep(time.Second)
	killed := time.Now()
	var next *modelServer
	if trouble {
		v.record.add("SIGKILL to server %s", idle.id)
		_ = idle.command.Process.Kill()
		time.Sleep(time.Until(killed.Add(backAfter)))
		if next, err = v.startServer(idle.id, idle.address.String(), versionNew); err != nil {
			return verdict{}, err
		}
		v.record.add("server %s started again as version %s", idle.id, versionNew)
	}
	time.Sleep(time.Until(killed.Add(lostAfter)))
	v.record.add("SIGKILL to server %s", last.id)
	_ = last.command.Process.Kill()
	time.Sleep(time.Until(killed.Add(listedAfter)))
	if next != nil {
		if err := v.list(next, versionNew); err != nil {
			return verdict{}, err
		}
	}
	callers.Wait()
	v.record.add("%d of %d streams ended as complete with events of one version", v.whole, len(prompts))
	if len(v.joined) > maxJoined {
		return verdict{broken: true, why: fmt.Sprintf("%d of %d streams hold events of two versions: %s", len(v.joined), len(prompts), strings.Join(v.joined, ", "))}, nil
	}
	return verdict{why: fmt.Sprintf("%d streams hold events of two versions", len(v.joined))}, nil
}

// findPrompts returns prompts whose streams begin at the server last, after some that begin at each other server
// than idle.
func (v *versionCase) findPrompts(idle, last string) ([]string, error) {
	var atOthers, atLast []string
	found := make(map[string]int)
	for n := 0; n < maxProbes && (len(atLast) < versionStreams || len(atOthers) < otherStreams*newServers); n++ {
		prompt := fmt.Sprintf("%x:1700", 0x91bd0000+n*7919)
		q := v.request(fmt.Sprintf("b0b0%08x", n), prompt, 1)
		if a := do(v.gateway.callers, q); a.status != http.StatusOK || !a.complete {
			return nil, fmt.Errorf("probe %s failed: status %d, %v", q.id, a.status, a.err)
		}
		time.Sleep(startPause) // for the server's line
		v.mu.Lock()
		server := v.ranAt[q.id]
		v.mu.Unlock()
		switch found[server]++; {
		case server == last && len(atLast) < versionStreams:
			atLast = append(atLast, prompt)
		case server != last && server != idle && found[server] <= otherStreams:
			atOthers = append(atOthers, prompt)
		}
	}
	if len(atLast) < versionStreams || len(atOthers) < otherStreams*newServers {
		return nil, fmt.Errorf("too few prompts: %d at %s, %d at others", len(atLast), last, len(atOthers))
	}
	return append(atOthers, atLast...), nil
}

// request returns a stream of some events.
func (v *versionCase) request(id, prompt string, events int) *call {
	return &call{
		method: http.MethodPost, path: versionPrefix + strconv.Itoa(events), id: id, body: "{}", timeout: 15 * time.Second,
		headers: []string{"Ryeford-Model: m", "Ryeford-Token-Count: 2060,120", "Ryeford-Prompt-Prefix: " + prompt + ",e4402b7d:360"},
	}
}

// call calls a stream and looks for events of two versions.
func (v *versionCase) call(n int, prompt string) {
	q := v.request(fmt.Sprintf("5eed0000%08x", n), prompt, versionEvents)
	v.record.add("caller sends %s", q.id)
	a := do(v.gateway.callers, q)
	first, found := "", make(map[string]int)
	for scanner := bufio.NewScanner(strings.NewReader(a.body)); scanner.Scan(); {
		if at := strings.LastIndex(scanner.Text(), " by "); at >= 0 {
			version := scanner.Text()[at+len(" by "):]
			if first == "" {
				first = version
			}
			found[version]++
		}
	}
	v.record.add("caller received of %s: status %d, %d events, by version: %v, complete: %t, error: %v", q.id, a.status, len(parseEvents(a.body)), found, a.complete, a.err)
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case len(found) > 1:
		v.joined = append(v.joined, q.id)
	case a.complete && a.status == http.StatusOK:
		v.whole++
	}
}
