// Package appserver plays an endpoint of the platform, for tests, for the soak and
// for `ryeford dev --platform`: a model server that streams events, or a plain service. It
// counts how often each request has run, which is what tests check.
//
// It answers the HTTP/1.1 that endpoints speak with routers, with the headers of
// platform/wire. A Fault makes it misbehave as the platform's servers may.
//
// It does not play slots, queues and preemption (every request runs at once), a
// model's memory and caches, priorities, deadlines, health checks, or a draining
// server: its state is what the stand-in of the store says.
package appserver

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// A Server is the stand-in. It is an http.Handler, and may be used concurrently.
type Server struct {
	// ID is the endpoint's ID. Requests that are meant for another one are refused.
	ID string
	// Events is how many events a stream has; zero makes a plain service.
	Events int
	// Step is the time before each event, or of a plain request's work.
	Step    time.Duration
	mu      sync.Mutex
	fault   Fault
	faults  int // requests that the fault still applies to; negative: all
	runs    map[string]int
	working int // requests that are running
	// crashBody, unless it is empty, is a body that ends the endpoint.
	crashBody string
	crash     func()
	leaving   bool   // answers say so
	rest      string // the Retry-After of what FaultShed refuses; none if it is empty
	refusals  []Refusal
}

// A Refusal is a request that was refused with a Retry-After.
type Refusal struct {
	Request string    `json:"request"`
	At      time.Time `json:"at"`
	// Rest is the Retry-After, in seconds.
	Rest string `json:"rest"`
}

// Refusals returns the requests that were refused with a Retry-After, in their order.
func (s *Server) Refusals() []Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.refusals)
}

// Runs returns how often each request has run here, by its ID.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// begin counts a run. s.mu is held.
func (s *Server) begin(id string) {
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[id]++
	s.working++
}

// end counts a run as no longer running.
func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.working--
}

// A Fault is what a server does wrong.
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
	// FaultExtra sends a second response after a whole one.
	FaultExtra Fault = "extra"
	// FaultUnsigned leaves the signature out.
	FaultUnsigned Fault = "unsigned"
	// FaultEncoded marks the body as encoded.
	FaultEncoded Fault = "encoded"
	// FaultForeign sends the response to another request first.
	FaultForeign Fault = "foreign"
	// FaultGarbage sends bytes that are not HTTP.
	FaultGarbage Fault = "garbage"
	// FaultUnframed sends the body without a length, up to the connection's end.
	FaultUnframed Fault = "unframed"
)

// SetFault applies a fault to the next n requests, or to all if n is negative.
func (s *Server) SetFault(fault Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faults = fault, n
}

// SetLeaving sets whether answers say that the endpoint leaves.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetRest sets the Retry-After of the requests that FaultShed refuses: none if it is empty.
func (s *Server) SetRest(retryAfter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rest = retryAfter
}

// SetCrashBody sets the body that ends the endpoint as it begins to run a request with it; none if
// it is empty.
func (s *Server) SetCrashBody(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashBody = body
}

// SetCrash sets what ends what the server runs in, and breaks all its connections off. It is called
// as a request begins to run whose body is that of SetCrashBody.
func (s *Server) SetCrash(crash func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash = crash
}

// crashOf returns what ends the endpoint if a body does, else nil.
func (s *Server) crashOf(body []byte) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashBody == "" || string(body) != s.crashBody {
		return nil
	}
	return s.crash
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
