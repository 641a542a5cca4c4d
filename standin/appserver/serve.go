package appserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/platform/wire"
)

// ReportedSlots is the number of slots in the load that responses report, and in the rows of the
// emulator's endpoints. The server doesn't enforce it.
const ReportedSlots = 64

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller's connection is broken
	}
	id := r.Header.Get(wire.HeaderRequestID)
	w.Header().Set(wire.HeaderRequestID, id)
	w.Header().Set(wire.HeaderEndpointID, s.ID)
	if expect := r.Header.Get(wire.HeaderExpectEndpoint); expect != "" && expect != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	room := s.currentRoom()
	if !room.admit() {
		s.reject(w)
		return
	}
	if !room.start(r.Context()) {
		return // the caller's connection is broken
	}
	defer room.end()
	s.mu.Lock()
	fault := s.nextFault()
	if fault != FaultShed {
		s.startRun(id)
	}
	if !room.limited() {
		w.Header().Set(wire.HeaderLoad, fmt.Sprintf("%d,0,%d", s.running, ReportedSlots))
	}
	if s.leaving {
		w.Header().Set(wire.HeaderLeaving, "1")
	}
	retryAfter := s.retryAfter
	if fault == FaultShed && retryAfter != "" {
		s.refusals = append(s.refusals, Refusal{Request: id, At: time.Now(), RetryAfter: retryAfter})
	}
	s.mu.Unlock()
	if fault == FaultShed {
		w.Header().Set(wire.HeaderNotRun, "1")
		if retryAfter != "" {
			w.Header().Set(wire.HeaderRetryAfter, retryAfter)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.endRun()
	if crash := s.crashFor(body, r.Header.Get(wire.HeaderPrompt)); crash != nil {
		s.respondUntilCrash(w, r)
		crash()
		panic(http.ErrAbortHandler)
	}
	s.respond(w, r, fault)
}

// respondUntilCrash sends what a crash leaves of a stream.
func (s *Server) respondUntilCrash(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	head, events := s.crashHead, s.crashEvents
	s.mu.Unlock()
	if !head {
		return
	}
	w.Header().Set(wire.HeaderSignature, s.ID)
	s.beginStream(w)
	_ = http.NewResponseController(w).Flush()
	for event := 1; event <= events; event++ {
		s.writeEvent(w, lastEvent(r)+event)
	}
}

// beginStream sets the headers of a stream.
func (s *Server) beginStream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unframed {
		w.Header().Set("Transfer-Encoding", "identity") // net/http sends no chunks, and closes the connection at the end
	}
}

// writeEvent sends one event.
func (s *Server) writeEvent(w http.ResponseWriter, event int) {
	_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d%s\n\n", event, event, s.writtenBy())
	_ = http.NewResponseController(w).Flush()
}

// reject refuses a request for which there is no room.
func (s *Server) reject(w http.ResponseWriter) {
	s.mu.Lock()
	s.rejected++
	s.mu.Unlock()
	w.Header().Set(wire.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, fault Fault) {
	switch fault {
	case FaultHang:
		<-r.Context().Done()
		return
	case FaultBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultErrors:
		w.Header().Set(wire.HeaderSignature, s.ID)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case FaultReset, FaultGarbage, FaultExtra, FaultForeign, FaultUnframed:
		s.respondRaw(w, r, fault)
		return
	}
	if fault != FaultUnsigned {
		w.Header().Set(wire.HeaderSignature, s.ID)
	}
	if fault == FaultEncoded {
		w.Header().Set(wire.HeaderEncoding, "x-unknown")
	}
	if s.Events > 0 {
		s.stream(w, r, fault)
		return
	}
	s.respondPlain(w, r, fault)
}

func (s *Server) respondPlain(w http.ResponseWriter, r *http.Request, fault Fault) {
	if !clock.Sleep(r.Context(), s.Step) {
		return // the caller has closed the connection
	}
	text := s.plainText(r)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if fault == FaultCut {
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

// plainText returns the body of a plain response.
func (s *Server) plainText(r *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.size > 0 {
		return strings.Repeat("x", s.size)
	}
	return s.text(r)
}

// stream responds with the events after the last one that the caller has.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, fault Fault) {
	s.beginStream(w)
	last := lastEvent(r)
	for event := last + 1; event <= s.Events; event++ {
		if !clock.Sleep(r.Context(), s.Step) {
			return
		}
		if fault == FaultCut && event == last+2 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", event)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		s.writeEvent(w, event)
	}
}

// writtenBy returns what the data of an event ends with if the server has a Software version.
func (s *Server) writtenBy() string {
	if s.Software == "" {
		return ""
	}
	return " of " + s.Software
}

// lastEvent returns the number of the last event that the caller has. It returns zero if the request
// has no event ID, or one that is not a number.
func lastEvent(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get(wire.HeaderLastEvent))
	if err != nil {
		return 0
	}
	return n
}

func (s *Server) text(r *http.Request) string {
	return "answer to " + r.Header.Get(wire.HeaderRequestID) + " of " + s.ID
}

// connectionClose is a header that makes a body without a length end when the connection is closed.
const connectionClose = "Connection: close\r\n"

// respondRaw responds with bytes that net/http would not send. It ignores errors of the connection,
// which mean that the caller has closed it.
func (s *Server) respondRaw(w http.ResponseWriter, r *http.Request, fault Fault) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if fault == FaultReset {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send a reset
		}
		return
	}
	_, _ = buffer.WriteString(s.raw(r, fault))
	_ = buffer.Flush()
	if fault == FaultUnframed || fault == FaultGarbage {
		return
	}
	// Keep the connection open until the caller closes it.
	_, _ = io.Copy(io.Discard, conn)
}

// raw returns the bytes of a response with a fault.
func (s *Server) raw(r *http.Request, fault Fault) string {
	id, text := r.Header.Get(wire.HeaderRequestID), s.text(r)
	switch fault {
	case FaultExtra:
		const second = "a second answer"
		return s.rawResponse(id, contentLength(text), text) + s.rawResponse(id, contentLength(second), second)
	case FaultForeign:
		const other = "another's answer"
		return s.rawResponse("another", contentLength(other), other) + s.rawResponse(id, contentLength(text)+connectionClose, text)
	case FaultUnframed:
		return s.rawResponse(id, connectionClose, text)
	default:
		return "\x00\x01 no answer at all\r\n\r\n"
	}
}

// contentLength returns the Content-Length header of a body.
func contentLength(text string) string {
	return fmt.Sprintf("Content-Length: %d\r\n", len(text))
}

// rawResponse returns the bytes of a response. framing holds the headers that determine its length.
func (s *Server) rawResponse(id, framing, text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s\r\n%s",
		wire.HeaderRequestID, id, wire.HeaderSignature, s.ID, framing, text)
}
