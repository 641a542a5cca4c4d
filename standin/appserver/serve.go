package appserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/platform/wire"
)

// ReportedSlots is the number of slots in the load that responses report, and in the
// rows of the emulator's endpoints. It bounds nothing here.
const ReportedSlots = 64

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller's connection broke: there is nobody to answer
	}
	id := r.Header.Get(wire.HeaderRequestID)
	w.Header().Set(wire.HeaderRequestID, id)
	w.Header().Set(wire.HeaderEndpointID, s.ID)
	if expect := r.Header.Get(wire.HeaderExpectEndpoint); expect != "" && expect != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	fault := s.nextFault()
	if fault != FaultShed {
		s.begin(id)
	}
	w.Header().Set(wire.HeaderLoad, fmt.Sprintf("%d,0,%d", s.working, ReportedSlots))
	if s.leaving {
		w.Header().Set(wire.HeaderLeaving, "1")
	}
	rest := s.rest
	if fault == FaultShed && rest != "" {
		s.refusals = append(s.refusals, Refusal{Request: id, At: time.Now(), Rest: rest})
	}
	s.mu.Unlock()
	if fault == FaultShed {
		w.Header().Set(wire.HeaderNotRun, "1")
		if rest != "" {
			w.Header().Set(wire.HeaderRetryAfter, rest)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	if crash := s.crashOf(body); crash != nil {
		crash()
		panic(http.ErrAbortHandler)
	}
	s.respond(w, r, fault)
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
		return // the caller's connection broke
	}
	text := s.text(r)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if fault == FaultCut {
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

// stream responds with events, from the one after the last that the caller has.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
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
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", event, event)
		_ = http.NewResponseController(w).Flush()
	}
}

// lastEvent returns the number of the last event that the caller has. Zero stands
// for none, and for an ID that no server here has given.
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

// closing in place of a length ends the body with the connection.
const closing = "Connection: close\r\n"

// respondRaw responds with bytes that net/http would not send. Errors of the
// connection are dropped: the caller has closed it.
func (s *Server) respondRaw(w http.ResponseWriter, r *http.Request, fault Fault) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if fault == FaultReset {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // closing resets
		}
		return
	}
	_, _ = buffer.WriteString(s.raw(r, fault))
	_ = buffer.Flush()
	if fault == FaultUnframed || fault == FaultGarbage {
		return
	}
	// The connection stays open until the caller closes it.
	_, _ = io.Copy(io.Discard, conn)
}

// raw returns the bytes of a fault.
func (s *Server) raw(r *http.Request, fault Fault) string {
	id, text := r.Header.Get(wire.HeaderRequestID), s.text(r)
	switch fault {
	case FaultExtra:
		const second = "a second answer"
		return s.rawResponse(id, length(text), text) + s.rawResponse(id, length(second), second)
	case FaultForeign:
		const other = "another's answer"
		return s.rawResponse("another", length(other), other) + s.rawResponse(id, length(text)+closing, text)
	case FaultUnframed:
		return s.rawResponse(id, closing, text)
	default:
		return "\x00\x01 no answer at all\r\n\r\n"
	}
}

// length returns the header that frames a body.
func length(text string) string {
	return fmt.Sprintf("Content-Length: %d\r\n", len(text))
}

// rawResponse returns the bytes of a response with the given framing headers.
func (s *Server) rawResponse(id, framing, text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s\r\n%s",
		wire.HeaderRequestID, id, wire.HeaderSignature, s.ID, framing, text)
}
