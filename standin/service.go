package standin

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford/agentfleet/engine"
)

// A ServiceFault is a simulated malfunction of a service.
type ServiceFault struct {
	// DieAfterRun is the number of calls that run but whose connection is closed instead of an
	// answer.
	DieAfterRun int `json:"die_after_run"`
	// DelayMS delays each answer, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// A ServiceAnswer is a service's answer in JSON: the call and its number, starting at 1.
type ServiceAnswer struct {
	Path string `json:"path"`
	Body string `json:"body"`
	Run  int    `json:"run"`
}

// A service plays a plain service that is called over HTTP through an agent. It records each call,
// on any path, and answers with its contents. It ignores methods and headers except the attempt's
// ID. Its state is lost when the process ends.
type service struct {
	delay time.Duration

	mu    sync.Mutex
	fault ServiceFault
	runs  []RunRecord
}

func (s *service) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathFault:
		s.mu.Lock()
		defer s.mu.Unlock()
		readJSON(ctx, &s.fault) // changes only the fields that the request contains
	case PathRuns:
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(ctx, s.runs)
	default:
		s.call(ctx)
	}
}

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
