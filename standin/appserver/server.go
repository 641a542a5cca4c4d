// Package appserver plays an endpoint of the platform, for tests, for the soak test and for
// `ryeford dev --platform`: a model server that streams events, or a plain service. It counts the
// runs of each request, so that tests can detect lost and repeated ones.
//
// It implements the endpoints' HTTP/1.1 interface for routers, with the headers of platform/wire. A
// Fault makes it fail as the platform's servers may.
//
// Every request runs immediately, unless SetRoom limits them. It doesn't play preemption, a model's memory
// and caches, priorities, deadlines, health checks or draining (the stand-in of the store sets the
// endpoint's state).
package appserver

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// A Server plays an endpoint. It is an http.Handler and may be used concurrently.
type Server struct {
	// ID is the endpoint's ID. The server refuses requests that name a different endpoint.
	ID string
	// Events is the number of events of a stream. Zero makes the server a plain service.
	Events int
	// Software, unless it is empty, is the version that the server names in each event, so that callers can tell which
	// version wrote it.
	Software string
	// Step is the time before each event, or the processing time of a plain request.
	Step    time.Duration
	mu      sync.Mutex
	fault   Fault
	faults  int // number of requests that the fault still applies to; all if negative
	runs    map[string]int
	running int // number of requests
	size    int // of a plain response, in bytes; zero: the request is echoed
	// crashBody, unless it is empty, is a request body that crashes the endpoint.
	crashBody string
	// crashPart, unless it is empty, is the ID of a prompt part that crashes the endpoint, unless it is the last of its
	// prompt.
	crashPart string
	crash     func()
	// crashHead and crashEvents are what the server has sent of a response when it crashes: its head, and a number of
	// complete events.
	crashHead   bool
	crashEvents int
	unframed    bool   // streams have neither a length nor chunks
	leaving     bool   // responses report that the endpoint is leaving
	retryAfter  string // of requests refused by FaultShed; none if empty
	refusals    []Refusal
	room        room
	rejected    int // number of requests for which there was no room
}

// A Refusal is a request that was refused with a Retry-After.
type Refusal struct {
	Request string    `json:"request"`
	At      time.Time `json:"at"`
	// RetryAfter is the Retry-After, in seconds.
	RetryAfter string `json:"rest"`
}

// Refusals returns the requests that were refused with a Retry-After, oldest first.
func (s *Server) Refusals() []Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.refusals)
}

// SetSize makes plain responses have a size in bytes.
func (s *Server) SetSize(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.size = bytes
}

// Runs returns the number of runs of each request by its ID.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// startRun counts a run. s.mu is held.
func (s *Server) startRun(id string) {
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[id]++
	s.running++
}

func (s *Server) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// A Fault is a simulated malfunction of a server.
type Fault string

// The faults.
const (
	FaultNone Fault = ""
	// FaultShed refuses a request and states that it did not run.
	FaultShed Fault = "shed"
	// FaultErrors runs a request and answers 500.
	FaultErrors Fault = "errors"
	// FaultBusy runs a request and answers 503 without stating that it did not run.
	FaultBusy Fault = "busy"
	// FaultHang runs a request and never answers.
	FaultHang Fault = "hang"
	// FaultReset runs a request and resets the connection.
	FaultReset Fault = "reset"
	// FaultCut closes the connection in the middle of the second event that it sends,
	// or of the body.
	FaultCut Fault = "cut"
	// FaultExtra sends a second response after a complete one.
	FaultExtra Fault = "extra"
	// FaultUnsigned omits the signature.
	FaultUnsigned Fault = "unsigned"
	// FaultEncoded sets a content encoding.
	FaultEncoded Fault = "encoded"
	// FaultForeign sends the response of another request first.
	FaultForeign Fault = "foreign"
	// FaultGarbage sends bytes that are not HTTP.
	FaultGarbage Fault = "garbage"
	// FaultUnframed sends a body without a length, which ends when the connection is closed.
	FaultUnframed Fault = "unframed"
)

// SetFault applies a fault to the next n requests, or to all if n is negative.
func (s *Server) SetFault(fault Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faults = fault, n
}

// SetLeaving sets whether responses report that the endpoint is leaving.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetRetryAfter sets the Retry-After, in seconds, of requests that FaultShed refuses. Empty sends
// none.
func (s *Server) SetRetryAfter(retryAfter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter = retryAfter
}

// SetCrashBody sets a request body that crashes the endpoint when it starts to run the request.
// Empty disables crashes.
func (s *Server) SetCrashBody(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashBody = body
}

// SetCrashPart sets the ID of a prompt part, in hexadecimal. Requests crash the endpoint when it starts to run them if
// their prompt has that part, not as the last one. Empty disables such crashes.
func (s *Server) SetCrashPart(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashPart = id
}

// SetCrashPoint sets what the server sends of a response before it crashes: its head, and a number of complete events.
// By default it sends nothing.
func (s *Server) SetCrashPoint(head bool, events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashHead, s.crashEvents = head, events
}

// SetUnframed sets whether streams have neither a length nor chunks, so that they end with their connection.
func (s *Server) SetUnframed(unframed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unframed = unframed
}

// SetCrash sets the function that plays a crash: it must stop the HTTP server and close all its
// connections. It is called when a request of SetCrashBody or SetCrashPart starts to run.
func (s *Server) SetCrash(crash func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash = crash
}

// crashFor returns the crash function if a request crashes the endpoint, and nil otherwise. prompt is the header that
// describes its prompt.
func (s *Server) crashFor(body []byte, prompt string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashBody != "" && string(body) == s.crashBody || s.crashPart != "" && sharesPart(prompt, s.crashPart) {
		return s.crash
	}
	return nil
}

// sharesPart reports whether a prompt has a part with an ID, other than its last part.
func sharesPart(prompt, id string) bool {
	parts := strings.Split(prompt, ",")
	for _, part := range parts[:len(parts)-1] {
		if name, _, _ := strings.Cut(part, ":"); name == id {
			return true
		}
	}
	return false
}

// nextFault returns the fault of the next request. s.mu is held.
func (s *Server) nextFault() Fault {
	if s.faults == 0 {
		return FaultNone
	}
	if s.faults > 0 {
		s.faults--
	}
	return s.fault
}
