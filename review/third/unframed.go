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
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ryeford/ryeford/platform/wire"
)

const (
	streams     = 16
	endpoints   = 4
	events      = 350
	eventSize   = 1400
	eventStep   = 20 * time.Millisecond
	readSize    = 800
	readPause   = 25 * time.Millisecond
	crashAfter  = 5 * time.Second
	downTime    = 2 * time.Second
	streamLimit = 30 * time.Second

	receiveBuffer = 8 << 10
	segmentSize   = 1460
)

// runUnframed kills one of the endpoints of streams that have no length, and starts it again. The callers of the streams
// read slowly, so that the gateway reads the end of the streams only after that.
func runUnframed(b *bench) (bool, error) {
	err := b.configure(&wire.Configuration{
		Version: 1,
		Routes: []wire.Route{{
			Name: "reply-stream", Host: host, Prefix: "/lohu930/", Kind: wire.KindStream, TimeoutMs: float64(streamLimit.Milliseconds()),
			GoalMs: 400, MaxAttempts: 1, Rank: 2, Service: "pool",
		}},
		Services: []wire.Service{{Name: "pool"}},
		Limits:   wire.Limits{MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 10000, IdleTimeoutMs: 15000},
		Accounts: &[]wire.Account{{Name: "hule930", Keys: []string{key}}},
	})
	if err != nil {
		return false, err
	}
	specs := make([]*endpointSpec, endpoints)
	processes := make(map[string]*exec.Cmd)
	for i := range specs {
		address, err := freePort()
		if err != nil {
			return false, err
		}
		specs[i] = &endpointSpec{ID: fmt.Sprintf("i-%d-1", i), Address: address, Service: "pool", Events: events, Size: eventSize, Step: eventStep, Unframed: true}
		if processes[specs[i].ID], err = b.startEndpoint(specs[i]); err != nil {
			return false, err
		}
	}
	g, err := b.startGateway()
	if err != nil {
		return false, err
	}
	b.record.printf("the gateway is ready; %d streams of %d events begin", streams, events)
	var wait sync.WaitGroup
	results := make([]result, streams)
	for i := range results {
		wait.Add(1)
		go func() {
			defer wait.Done()
			readSlowly(g.callers, i, &results[i])
		}()
	}
	if b.trouble {
		time.Sleep(crashAfter)
		if err := b.crash(busiest(specs, results), processes); err != nil {
			return false, err
		}
	}
	wait.Wait()
	return b.judge(results)
}

// busiest returns the endpoint that writes the most streams.
func busiest(specs []*endpointSpec, results []result) *endpointSpec {
	count := make(map[string]int)
	for i := range results {
		count[results[i].endpoint()]++
	}
	return slices.MaxFunc(specs, func(a, b *endpointSpec) int { return count[a.ID] - count[b.ID] })
}

// crash kills an endpoint, and starts it again after a time, as a new incarnation at its address.
func (b *bench) crash(e *endpointSpec, processes map[string]*exec.Cmd) error {
	b.kill(processes[e.ID])
	b.record.printf("endpoint %s is killed", e.ID)
	time.Sleep(downTime)
	again := *e
	again.ID = strings.TrimSuffix(e.ID, "1") + "2"
	if _, err := b.startEndpoint(&again); err != nil {
		return err
	}
	b.store.Remove(wire.TableEndpoints, e.ID)
	b.record.printf("endpoint %s starts at the address of %s", again.ID, e.ID)
	return nil
}

// judge records the results and reports whether a stream ended as complete before its last event.
func (b *bench) judge(results []result) (broken bool, err error) {
	for i := range results {
		r := &results[i]
		b.record.printf("stream %d: status %d, endpoint %s, last event %d of %d, ended as complete: %t, err: %v", i, r.status, r.endpoint(), r.last, events, r.complete, r.err)
		broken = broken || r.complete && r.status == http.StatusOK && r.last < events
		if !b.trouble && (!r.complete || r.last < events) {
			return false, errors.New("a stream was not complete without the disruption")
		}
	}
	return broken, nil
}

// A result is what a caller has received of a stream.
type result struct {
	stamp    atomic.Pointer[string] // of the endpoint that writes the stream
	status   int
	last     int  // ID of the last event
	complete bool // the response has ended in order
	err      error
}

// endpoint returns the ID of the endpoint that writes the stream, or an empty text before the response.
func (r *result) endpoint() string {
	if stamp := r.stamp.Load(); stamp != nil {
		return *stamp
	}
	return ""
}

// readSlowly sends a request over a connection with the segments of an Ethernet link and a small receive buffer, and reads
// the response at some 32 KB a second.
func readSlowly(address string, number int, r *result) {
	dialer := net.Dialer{Control: limitBuffer}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	_, r.err = fmt.Fprintf(conn, "POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nRyeford-Request-Id: r-%d\r\nRyeford-Model: m\r\nRyeford-Token-Count: 710,1500\r\n"+
		"Ryeford-Prompt-Prefix: 5c1e07a%x:600,91bd3f0%x:110\r\nRyeford-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}",
		host, number, number, number, streamLimit.Milliseconds(), key)
	if r.err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(streamLimit + 5*time.Second))
	response, err := http.ReadResponse(bufio.NewReaderSize(&slowReader{conn}, readSize), nil)
	if err != nil {
		r.err = err
		return
	}
	stamp := response.Header.Get(wire.HeaderSignature)
	r.stamp.Store(&stamp)
	body, err := io.ReadAll(response.Body)
	r.status, r.complete, r.err = response.StatusCode, err == nil, err
	for line := range bytes.Lines(body) {
		if id, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			r.last, _ = strconv.Atoi(string(bytes.TrimSpace(id)))
		}
	}
}

// limitBuffer limits the receive buffer of a connection and the size of its segments.
func limitBuffer(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentSize))
	})
	return errors.Join(err, failure)
}

// A slowReader reads at most readSize bytes in readPause.
type slowReader struct{ io.Reader }

// Read implements io.Reader.
func (r *slowReader) Read(p []byte) (int, error) {
	time.Sleep(readPause)
	return r.Reader.Read(p[:min(len(p), readSize)])
}
