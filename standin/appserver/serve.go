package appserver

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/platform/wire"
)

// reportedSlots is the number of slots in the load that responses report. It bounds
// nothing here.
const reportedSlots = 64

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
	s.received = append(s.received, Received{Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: string(body)})
	if fault != FaultShed {
		s.begin(id)
	}
	w.Header().Set(wire.HeaderLoad, fmt.Sprintf("%d,0,%d", s.working, reportedSlots))
	s.mu.Unlock()
	if fault == FaultShed {
		w.Header().Set(wire.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	s.respond(w, r, fault)
}

// respond responds to a request that runs.
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

// respondPlain responds as a plain service.
func (s *Server) respondPlain(w http.ResponseWriter, r *http.Request, fault Fault) {
	if !s.work(r) {
		return
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

// lastEvent returns the number of the last event that the caller has. Zero stands
// for none, and for an ID that no server here has given.
func lastEvent(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get(wire.HeaderLastEvent))
	if err != nil {
		return 0
	}
	return n
}

// text returns the body of a plain response.
func (s *Server) text(r *http.Request) string {
	return "answer to " + r.Header.Get(wire.HeaderRequestID) + " of " + s.ID
}

// work takes the time of one step, and reports whether the caller is still
// connected.
func (s *Server) work(r *http.Request) bool {
	return clock.Sleep(r.Context(), s.Step)
}
