//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"

	"github.com/ryeford/ryeford/platform/wire"
)

// startEndpoint starts an endpoint's process, and lists it once it accepts connections.
func (b *bench) startEndpoint(e *endpointSpec) (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	spec, err := json.Marshal(e)
	if err != nil {
		return nil, err
	}
	child, err := b.start(e.ID, nil, self, "endpoint", string(spec))
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(startBy); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp", e.Address); err == nil {
			_ = conn.Close()
			return child, b.list(e, wire.StateReady)
		}
	}
	return nil, fmt.Errorf("endpoint %s did not start", e.ID)
}

// runEndpoint plays an endpoint until the process is killed. It writes a line for each request that it runs.
func runEndpoint(spec string) {
	var e endpointSpec
	if err := json.Unmarshal([]byte(spec), &e); err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	listener, err := net.Listen("tcp", e.Address)
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

// serve serves the requests of a connection.
func (e *endpointSpec) serve(conn net.Conn) {
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
		id := request.Header.Get(wire.HeaderRequestID)
		head := wire.HeaderRequestID + ": " + id + "\r\n"
		if request.Header.Get(wire.HeaderExpectEndpoint) != e.ID {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
			continue
		}
		head += wire.HeaderSignature + ": " + e.ID + "\r\n" + wire.HeaderLoad + ": 1,0,64\r\n"
		fmt.Printf("run %s\n", id)
		e.stream(conn, head)
		return
	}
}

// stream sends all events, and ends the stream with its connection or with the last chunk.
func (e *endpointSpec) stream(conn net.Conn, head string) {
	framing := "Transfer-Encoding: chunked\r\n"
	if e.Unframed {
		framing = ""
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nConnection: close\r\n%s\r\n", head, framing)
	for event := 1; event <= e.Events; event++ {
		time.Sleep(e.Step)
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", event, strings.Repeat("t", e.Size))
		if !e.Unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
	if !e.Unframed {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}
