//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "takeup". Servers of two versions of their software serve side by side. All gateways are killed at once and
// start again. Once they are in touch, clients take up the streams that broke.

const (
	takeUpGateways = 3
	takeUpStreams  = 24                     // that break
	takeUpPieces   = 60                     // of a stream
	takeUpBreak    = 2 * time.Second        // from the beginning of the streams
	takeUpDown     = 600 * time.Millisecond // until the gateways start again
	takeUpDeadline = 15 * time.Second
	takeUpLeast    = 12 // streams, by the rule
)

// takeUpRoute is a resumable route.
var takeUpRoute = route{
	Name: "reply-stream", Host: requestHost, Prefix: "/reply/", Service: "ryeford-pool", Kind: "streaming",
	TimeoutMs: 15000, GoalMs: 400, Priority: 2, MaxAttempts: 2, Resumable: true,
}

// A brokenStream is a stream whose client has not got all pieces.
type brokenStream struct {
	id      string
	began   time.Time
	last    int    // the last piece that the client has got
	version string // of the pieces
}

// readStream reads the pieces of a stream until it ends or breaks off. It returns the last one, the versions of the
// pieces, and whether the stream ended whole.
func readStream(ctx context.Context, g *gateway, id string, left time.Duration, resumes string, after int) (status, last int, versions []string, whole bool) {
	request, err := newRequest(ctx, g, "/reply/a", id, left, bytes.Repeat([]byte{'x'}, 1400))
	if err != nil {
		return 0, after, nil, false
	}
	if resumes != "" {
		request.Header.Set("Last-Event-Id", strconv.Itoa(after))
		request.Header.Set("Resumes", resumes)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(request)
	if err != nil {
		return 0, after, nil, false
	}
	defer func() { _ = response.Body.Close() }()
	last = after
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if number, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			last, _ = strconv.Atoi(number)
		}
		if data, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			version, _, _ := strings.Cut(data, " ")
			if len(versions) == 0 || versions[len(versions)-1] != version {
				versions = append(versions, version)
			}
		}
	}
	return response.StatusCode, last, versions, scanner.Err() == nil && last == takeUpPieces
}

// beginStreams begins streams at all gateways and returns them once they have broken off.
func (s *setup) beginStreams(ctx context.Context, gateways []*gateway) []brokenStream {
	var mu sync.Mutex
	var group sync.WaitGroup
	var streams []brokenStream
	for n := range takeUpStreams {
		group.Go(func() {
			b := brokenStream{id: fmt.Sprintf("%08x%08x", 0x9c41d000+n, n), began: time.Now()}
			status, last, versions, whole := readStream(ctx, gateways[n%len(gateways)], b.id, takeUpDeadline, "", 0)
			s.record.add("stream %s breaks off: status %d, piece %d, versions %v", b.id, status, last, versions)
			if whole || len(versions) != 1 {
				return
			}
			b.last, b.version = last, versions[0]
			mu.Lock()
			defer mu.Unlock()
			streams = append(streams, b)
		})
	}
	group.Wait()
	return streams
}

// takeUp takes up the streams at other gateways, and begins as many new ones. It returns how many of each go on, and
// whether one goes on at another version.
func (s *setup) takeUp(gateways []*gateway, streams []brokenStream) (goOn, begin int, joined bool) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for n, b := range streams {
		g := gateways[(n+1)%len(gateways)]
		group.Go(func() {
			left := takeUpDeadline - time.Since(b.began)
			ctx, cancel := context.WithTimeout(context.Background(), left)
			defer cancel()
			id := fmt.Sprintf("%08x%08x", 0x5a5a0000, n)
			status, last, versions, whole := readStream(ctx, g, id, left, b.id, b.last)
			s.record.add("stream %s of version %s is taken up after piece %d as %s: status %d, up to piece %d, versions %v, whole %v", b.id, b.version, b.last, id, status, last, versions, whole)
			mu.Lock()
			defer mu.Unlock()
			if last > b.last {
				goOn++
			}
			joined = joined || len(versions) > 1 || len(versions) == 1 && versions[0] != b.version
		})
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), takeUpDeadline)
			defer cancel()
			id := fmt.Sprintf("%08x%08x", 0x7b7b0000, n)
			status, last, versions, _ := readStream(ctx, g, id, takeUpDeadline, "", 0)
			s.record.add("new stream %s: status %d, up to piece %d, versions %v", id, status, last, versions)
			mu.Lock()
			defer mu.Unlock()
			if last > 0 {
				begin++
			}
		})
	}
	group.Wait()
	return goOn, begin, joined
}

func runTakeUp(s *setup) (int, error) {
	p, err := newPlatform(s.host)
	if err != nil {
		return failed, err
	}
	defer p.close()
	for i := range versionServers {
		server := &versionServer{id: fmt.Sprintf("i-7f3a%02x", i), zone: zones[i%len(zones)], record: s.record, pieces: takeUpPieces}
		version := oldVersion
		if i%2 == 1 {
			version = otherVersion
		}
		if err := errors.Join(server.start(s.host, version), p.listVersion(server)); err != nil {
			return failed, err
		}
	}
	if err := p.configure([]string{"ryeford-pool"}, []route{takeUpRoute}); err != nil {
		return failed, err
	}
	var gateways []*gateway
	for i := range takeUpGateways {
		g, err := p.startGateway(s.dir, fmt.Sprintf("front-%d", i+1), zones[i%len(zones)])
		if err != nil {
			return failed, err
		}
		defer func() { g.kill() }()
		defer keepProbing(g.ready)()
		gateways = append(gateways, g)
	}
	time.Sleep(contact)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.AfterFunc(takeUpBreak, func() {
		if !s.trouble {
			s.record.add("the clients close their connections")
			cancel()
			return
		}
		s.record.add("all gateways are killed")
		for _, g := range gateways {
			g.signal(syscall.SIGKILL)
		}
	})
	streams := s.beginStreams(ctx, gateways)
	time.Sleep(takeUpDown)
	if s.trouble {
		for _, g := range gateways {
			if err := g.restart(); err != nil {
				return failed, err
			}
		}
		s.record.add("all gateways are ready again")
	}
	time.Sleep(contact + 200*time.Millisecond) // the gateways are in touch
	goOn, begin, joined := s.takeUp(gateways, streams)
	s.record.add("%d streams were taken up, %d of them go on; of as many new ones %d begin; versions joined %v", len(streams), goOn, begin, joined)
	switch {
	case len(streams) < takeUpLeast:
		return failed, fmt.Errorf("only %d streams broke off", len(streams))
	case 2*goOn < begin:
		return broken, nil
	case !s.trouble && (goOn < len(streams) || begin < len(streams)):
		return failed, fmt.Errorf("%d of %d streams go on and %d begin without trouble", goOn, len(streams), begin)
	}
	return held, nil
}
