//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"github.com/ryeford/ryeford/platform/wire"
)

// modelServerCommand runs a model server as a process of its own, so that it can be killed.
const modelServerCommand = "model-server"

// versionVariable is the environment variable with the software version of a model server.
const versionVariable = "REVIEW_VERSION"

const (
	streamEvents = 12 // events of a stream
	longEvent    = 5  // the ID of the event with a long line
	longLine     = 4096
	eventPause   = 60 * time.Millisecond
)

// eventData returns the data of an event. The line of the long event, with its field name, has longLine
// bytes.
func eventData(id int) string {
	text := fmt.Sprintf("draft %d ", id)
	if id == longEvent {
		text += strings.Repeat("x", longLine-len("data: ")-len(text))
	}
	return text
}

// runModelServer serves streams and prints what it runs to standard output. Each stream can be taken up
// after any event. spec is the ID of the server and its address, separated by a comma.
func runModelServer(spec string) {
	id, address, _ := strings.Cut(spec, ",")
	var s *rawServer
	s, err := listenRawServer(id, address, func(conn net.Conn, request *http.Request, _ []byte) bool {
		if request.Header.Get(wire.HeaderLastEvent) == "" && strings.HasPrefix(request.URL.Path, unframedPrefix) {
			return streamUnframed(s, conn, request)
		}
		if strings.HasPrefix(request.URL.Path, slowPrefix) {
			return streamSlow(s, conn, request)
		}
		if strings.HasPrefix(request.URL.Path, versionPrefix) {
			return streamVersioned(s, conn, request, os.Getenv(versionVariable))
		}
		last, _ := strconv.Atoi(request.Header.Get(wire.HeaderLastEvent)) // zero if there is none
		name := request.Header.Get(wire.HeaderRequestID)
		fmt.Printf("run %s %d\n", name, last)
		head := s.head(request, "200 OK", s.stamp(request, 1), "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "Ryeford-Weight-Versions: 1")
		if _, err := io.WriteString(conn, head); err != nil {
			return false
		}
		for event := last + 1; event <= streamEvents; event++ {
			time.Sleep(eventPause)
			if _, err := io.WriteString(conn, chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", event, eventData(event)))); err != nil {
				fmt.Printf("closed %s %d\n", name, event)
				return false
			}
			fmt.Printf("sent %s %d\n", name, event)
		}
		_, err := io.WriteString(conn, lastChunk)
		return err == nil
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	fmt.Printf("listening %s\n", s.address)
	select {}
}

// A modelServer is a model server that runs as a process.
type modelServer struct {
	id      string
	address netip.AddrPort
	command *exec.Cmd
	// lines receives what the process prints, without the first line.
	lines chan string
}

// startModelServer starts a process of this program that is a model server, at a free port of a loopback IP.
func startModelServer(id string) (*modelServer, error) { return startModelServerAt(id, "127.0.0.1:0") }

// startModelServerAt starts a process of this program that is a model server at an address.
func startModelServerAt(id, address string) (*modelServer, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	m := &modelServer{id: id, command: exec.Command(self, modelServerCommand, id+","+address), lines: make(chan string, 1000)}
	out, err := m.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := start(m.command); err != nil {
		return nil, err
	}
	reader := bufio.NewReader(out)
	line, err := reader.ReadString('\n')
	if err != nil {
		return nil, err
	}
	m.address, err = netip.ParseAddrPort(strings.TrimSpace(strings.TrimPrefix(line, "listening ")))
	go m.readLines(reader)
	return m, err
}

func (m *modelServer) readLines(reader *bufio.Reader) {
	defer close(m.lines)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		m.lines <- strings.TrimSpace(line)
	}
}
