// Package appserver is a stand-in of the servers that stand on the platform: a
// model server that streams events, or a plain service. It counts how often each
// request has run, and can be told to misbehave as the platform's may.
package appserver

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The headers that a server reads and writes.
const (
	headerRequest  = "Ryeford-Request-Id"
	headerStamp    = "Ryeford-Server-Stamp"
	headerNotRun   = "Ryeford-Not-Run"
	headerExpect   = "Ryeford-Expect-Instance"
	headerInstance = "Ryeford-Instance-Id"
	headerLoad     = "Ryeford-Server-Load"
	headerLast     = "Last-Event-Id"
)

// A Fault is what a server does wrong.
type Fault string

// The faults.
const (
	FaultNone Fault = ""
	// FaultShed refuses and says that the request has not run.
	FaultShed Fault = "shed"
	// FaultErrors runs a request and answers 500.
	FaultErrors Fault = "errors"
	// FaultBusy answers 503 without the promise that nothing ran.
	FaultBusy Fault = "busy"
	// FaultHang runs a request and never answers.
	FaultHang Fault = "hang"
	// FaultReset runs a request and resets the connection.
	FaultReset Fault = "reset"
	// FaultCut breaks off in the middle of the second event, or of the body.
	FaultCut Fault = "cut"
	// FaultExtra sends a second answer after a whole one.
	FaultExtra Fault = "extra"
	// FaultUnsigned leaves the signature out.
	FaultUnsigned Fault = "unsigned"
	// FaultEncoded marks the body as encoded.
	FaultEncoded Fault = "encoded"
	// FaultForeign answers another request first.
	FaultForeign Fault = "foreign"
	// FaultGarbage sends bytes that are no answer.
	FaultGarbage Fault = "garbage"
	// FaultUnframed sends the body without a length and ends with the connection.
	FaultUnframed Fault = "unframed"
)

// A Received is a request as the server got it.
type Received struct {
	Method string
	Target string
	Header http.Header
	Body   string
}

// A Server is the stand-in. It is an http.Handler.
type Server struct {
	// ID is the server's incarnation.
	ID string
	// Events is how many events a stream has; zero makes a plain service.
	Events int
	// Step is the time before each event, or of a plain request's work.
	Step time.Duration

	mu       sync.Mutex
	fault    Fault
	faults   int // requests that the fault strikes; negative: all
	runs     map[string]int
	received []Received
	working  int
}

// SetFault lets the next n requests meet a fault, or all where n is negative.
func (s *Server) SetFault(fault Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faults = fault, n
}

// Runs returns how often a request has run here.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// AllRuns returns how often each request has run here.
func (s *Server) AllRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Working returns how many requests are worked on.
func (s *Server) Working() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.working
}

// Received returns the requests that have come, in their order.
func (s *Server) Received() []Received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Received(nil), s.received...)
}

// nextFault takes the fault of a request.
func (s *Server) nextFault() Fault {
	if s.faults == 0 {
		return FaultNone
	}
	if s.faults > 0 {
		s.faults--
	}
	return s.fault
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(headerRequest)
	w.Header().Set(headerRequest, id)
	w.Header().Set(headerInstance, s.ID)
	if expect := r.Header.Get(headerExpect); expect != "" && expect != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	fault := s.nextFault()
	s.received = append(s.received, Received{Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: string(body)})
	if fault != FaultShed {
		s.run(id)
	}
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,64", s.working))
	s.mu.Unlock()
	if fault == FaultShed {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		s.working--
		s.mu.Unlock()
	}()
	s.answer(w, r, fault)
}

// run counts a run.
func (s *Server) run(id string) {
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[id]++
	s.working++
}

// answer answers a request that has run.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, fault Fault) {
	switch fault {
	case FaultHang:
		<-r.Context().Done()
		return
	case FaultBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultErrors:
		w.Header().Set(headerStamp, s.ID)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case FaultReset, FaultGarbage, FaultExtra, FaultForeign, FaultUnframed:
		s.answerRaw(w, r, fault)
		return
	}
	if fault != FaultUnsigned {
		w.Header().Set(headerStamp, s.ID)
	}
	if fault == FaultEncoded {
		w.Header().Set("Content-Encoding", "x-unknown")
	}
	if s.Events > 0 {
		s.stream(w, r, fault)
		return
	}
	if !s.work(r) {
		return
	}
	text := s.text(r)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if fault == FaultCut {
		text = text[:len(text)/2]
	}
	_, _ = io.WriteString(w, text)
	if fault == FaultCut {
		panic(http.ErrAbortHandler)
	}
}

// text returns the body of a plain answer.
func (s *Server) text(r *http.Request) string {
	return "answer to " + r.Header.Get(headerRequest) + " of " + s.ID
}

// work takes the time of one step, and reports whether the caller is still
// there.
func (s *Server) work(r *http.Request) bool {
	select {
	case <-time.After(s.Step):
		return true
	case <-r.Context().Done():
		return false
	}
}

// stream answers with events, behind the last one that the caller has.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get(headerLast))
	for event := last + 1; event <= s.Events; event++ {
		if !s.work(r) {
			return
		}
		if fault == FaultCut && event == last+2 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", event)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", event, event)
		_ = http.NewResponseController(w).Flush()
	}
}

// answerRaw answers with bytes that net/http would not send.
func (s *Server) answerRaw(w http.ResponseWriter, r *http.Request, fault Fault) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	id := r.Header.Get(headerRequest)
	switch fault {
	case FaultReset:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return
	case FaultGarbage:
		_, _ = buffer.WriteString("\x00\x01 no answer at all\r\n\r\n")
	case FaultExtra:
		_, _ = buffer.WriteString(s.raw(id, s.text(r)) + s.raw(id, "a second answer"))
	case FaultForeign:
		last := strings.Replace(s.raw(id, s.text(r)), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
		_, _ = buffer.WriteString(s.raw("another", "another's answer") + last)
	case FaultUnframed:
		text := s.text(r)
		_, _ = buffer.WriteString(strings.Replace(s.raw(id, text), fmt.Sprintf("Content-Length: %d\r\n", len(text)), "Connection: close\r\n", 1))
	}
	_ = buffer.Flush()
	if fault == FaultUnframed || fault == FaultGarbage {
		return
	}
	// The connection stays open until the caller closes it.
	_, _ = io.Copy(io.Discard, conn)
}

// raw returns the bytes of a whole answer.
func (s *Server) raw(id, text string) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		headerRequest, id, headerStamp, s.ID, len(text), text)
	return b.String()
}
