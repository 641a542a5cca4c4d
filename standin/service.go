package standin

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford/agentfleet/engine"
	"github.com/ryeford/ryeford/settings"
)

// A ServiceFault is what is wrong with a service.
type ServiceFault struct {
	// DieAfterRun runs so many calls and cuts the connection in place of an
	// answer.
	DieAfterRun int `json:"die_after_run"`
	DelayMS     int `json:"delay_ms"`
}

// A RunRecord is one run, as the stand-in saw it.
type RunRecord struct {
	Attempt string    `json:"attempt"`
	Chat    string    `json:"chat,omitempty"`
	Path    string    `json:"path,omitempty"`
	Body    string    `json:"body,omitempty"`
	At      time.Time `json:"at"`
	Cached  int       `json:"cached,omitempty"`
	// End is when the run ended; it is zero while the run goes on.
	End time.Time `json:"end,omitzero"`
}

// A ServiceAnswer is what the service answers.
type ServiceAnswer struct {
	Path string `json:"path"`
	Body string `json:"body"`
	Run  int    `json:"run"`
}

// A service stands in for a plain service.
type service struct {
	delay time.Duration

	mu    sync.Mutex
	fault ServiceFault
	runs  []RunRecord
}

// newService returns a service.
func newService(s *settings.StandinService) *service {
	return &service{delay: s.Delay}
}

// serve implements handler.
func (s *service) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathFault:
		s.mu.Lock()
		defer s.mu.Unlock()
		readJSON(ctx, &s.fault)
	case PathRuns:
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(ctx, s.runs)
	default:
		s.call(ctx)
	}
}

// call runs one call.
func (s *service) call(ctx *fasthttp.RequestCtx) {
	record := RunRecord{
		Attempt: string(ctx.Request.Header.Peek(engine.HeaderAttempt)),
		Path:    string(ctx.RequestURI()),
		Body:    string(ctx.PostBody()),
		At:      time.Now(),
	}
	s.mu.Lock()
	s.runs = append(s.runs, record)
	run := len(s.runs)
	fault := s.fault
	if s.fault.DieAfterRun > 0 {
		s.fault.DieAfterRun--
	}
	s.mu.Unlock()
	time.Sleep(s.delay + time.Duration(fault.DelayMS)*time.Millisecond)
	if fault.DieAfterRun > 0 {
		cutConnection(ctx)
		return
	}
	writeJSON(ctx, &ServiceAnswer{Path: record.Path, Body: record.Body, Run: run})
}
