package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// answerPieces is the number of events of a stream, and pieceGap the time between them.
	answerPieces = 12
	pieceGap     = 40 * time.Millisecond
	// answerWindow is the receive buffer of the servers, in bytes: a long request doesn't fit.
	answerWindow = 8 << 10
)

// A run is one request at a server, as the server knows it.
type run struct {
	id, name, way   string
	server, version string
	began, ended    time.Time
	ran             bool // the server has begun work on it
	written         bool // it has written the whole answer
	whole           bool // and ended it in order
	unframed        bool // the answer ended with its connection
}

// A runLog holds the runs of all servers.
type runLog struct {
	mu   sync.Mutex
	runs []*run
}

func (l *runLog) add(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// change changes a run that others may read.
func (l *runLog) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// An answeringServer is a server that answers in many ways. The seed and the request's ID determine which.
type answeringServer struct {
	id   string
	seed uint64
	ways []way
	log  *runLog

	address  string
	listener net.Listener
	version  atomic.Pointer[string]
	born     atomic.Int64 // Unix milliseconds

	mu    sync.Mutex
	conns map[net.Conn]bool
	ends  []time.Time // when it crashed
}

// listen listens at the server's address, or at a free one.
func (s *answeringServer) listen(version string) error {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, answerWindow)
		})
		return errors.Join(err, setErr)
	}}
	if s.address == "" {
		s.address = "127.0.0.1:0"
	}
	listener, err := config.Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener, s.address, s.conns = listener, listener.Addr().String(), make(map[net.Conn]bool)
	s.version.Store(&version)
	s.born.Store(time.Now().UnixMilli())
	go s.serve(listener)
	return nil
}

func (s *answeringServer) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serveConn(conn.(*net.TCPConn))
	}
}

// end closes the listener and all connections, as a process that ends. A crash resets those with unread bytes.
func (s *answeringServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = append(s.ends, time.Now())
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *answeringServer) serveConn(conn *net.TCPConn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || s.answer(conn, request) != nil {
			return
		}
	}
}

// errClose ends a connection after an answer.
var errClose = errors.New("close the connection")

// answer answers a request in one of the ways. An error ends the connection.
func (s *answeringServer) answer(conn *net.TCPConn, request *http.Request) error {
	id := request.Header.Get("Ryeford-Request-Id")
	if request.Header.Get("Ryeford-Expect-Instance") != s.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRyeford-Request-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return errors.Join(err, errClose)
	}
	a := &answering{server: s, conn: conn, request: request, id: id}
	a.name = request.URL.Path[strings.LastIndex(request.URL.Path, "/")+1:]
	a.stream = !strings.HasPrefix(request.URL.Path, "/"+routeOnce) && !strings.HasPrefix(request.URL.Path, "/"+routeSafe)
	a.after, _ = strconv.Atoi(request.Header.Get("Last-Event-Id"))
	w := s.draw(id)
	a.run = &run{id: id, name: a.name, way: w.name, server: s.id, version: *s.version.Load(), began: time.Now(), unframed: w.unframed}
	s.log.add(a.run)
	err := w.answer(a)
	s.log.change(func() {
		a.run.ended = time.Now()
		a.run.whole = a.run.written && (err == nil || errors.Is(err, errClose))
	})
	return err
}

// draw returns the way of a request at this server.
func (s *answeringServer) draw(id string) *way {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, s.seed, s.id, id)
	n := int(h.Sum64() % uint64(totalWeight(s.ways)))
	for i := range s.ways {
		if n -= s.ways[i].weight; n < 0 {
			return &s.ways[i]
		}
	}
	return &s.ways[0]
}

// An answering is one answer that is being written.
type answering struct {
	server   *answeringServer
	conn     *net.TCPConn
	request  *http.Request
	id, name string
	stream   bool
	after    int // the last event that the caller has
	run      *run
}

// begin reads the rest of the request and records that it runs.
func (a *answering) begin() error {
	a.markRan()
	return a.readRest()
}

func (a *answering) readRest() error {
	_, err := io.Copy(io.Discard, a.request.Body)
	return err
}

func (a *answering) markRan() { a.server.log.change(func() { a.run.ran = true }) }

// parts returns the parts of the body.
func (a *answering) parts() []string {
	if !a.stream {
		return []string{plainBody(a.name)}
	}
	var parts []string
	for n := a.after + 1; n <= answerPieces; n++ {
		parts = append(parts, answerPiece(a.run.version, n, a.name))
	}
	return parts
}

// plainBody returns the body of an answer that is no stream.
func plainBody(name string) string { return strings.Repeat("body of "+name+"\n", 40) }

// answerPiece returns an event of a stream.
func answerPiece(version string, number int, name string) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d of %s\n\n", number, version, number, name)
}

// head returns the head of a success with further fields.
func (a *answering) head(id string, fields ...string) string {
	kind := "text/plain"
	if a.stream {
		kind = "text/event-stream"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRyeford-Request-Id: %s\r\nRyeford-Server-Stamp: %s.1\r\nRyeford-Weight-Versions: 1\r\nContent-Type: %s\r\n%s\r\n",
		id, a.server.id, kind, strings.Join(fields, ""))
}

const (
	chunkedField = "Transfer-Encoding: chunked\r\n"
	closeField   = "Connection: close\r\n"
)

func (a *answering) write(text string) error {
	_, err := io.WriteString(a.conn, text)
	return err
}

// writeParts writes the first n parts in a format, or all if n is negative.
func (a *answering) writeParts(n int, format func(part string) string) error {
	for i, part := range a.parts() {
		if n >= 0 && i >= n {
			return nil
		}
		time.Sleep(pieceGap)
		if err := a.write(format(part)); err != nil {
			return err
		}
	}
	return nil
}

func asIs(part string) string    { return part }
func asChunk(part string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(part), part) }

// writeChunked writes the whole answer in chunks.
func (a *answering) writeChunked(fields ...string) error {
	err := errors.Join(a.write(a.head(a.id, append(fields, chunkedField)...)), a.writeParts(-1, asChunk), a.write("0\r\n\r\n"))
	return a.recordWritten(err)
}

// writeUnframed writes the whole answer without a length, and ends its direction of the connection.
func (a *answering) writeUnframed() error {
	err := errors.Join(a.write(a.head(a.id)), a.writeParts(-1, asIs), a.conn.CloseWrite())
	return a.recordWritten(err)
}

// recordWritten records that the whole answer was written, if err is nil, and returns err.
func (a *answering) recordWritten(err error) error {
	if err == nil {
		a.server.log.change(func() { a.run.written = true })
	}
	return err
}

// reset makes the end of the connection a reset.
func (a *answering) reset() error {
	_ = a.conn.SetLinger(0)
	return io.ErrClosedPipe
}
