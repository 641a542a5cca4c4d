package standin

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford/agentfleet/engine"
)

// A ServiceFault is what is wrong with a service.
type ServiceFault struct {
	// DieAfterRun runs so many calls and cuts the connection in place of an
	// answer.
	DieAfterRun int `json:"die_after_run"`
	// DelayMS delays each answer, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// A ServiceAnswer is the JSON that a service answers with: the call, and its number.
type ServiceAnswer struct {
	Path string `json:"path"`
	Body string `json:"body"`
	Run  int    `json:"run"`
}

// A service plays a plain service that is called over HTTP through an agent: it answers
// each call, whatever its path, with the call itself, and records it. It does not look
// at methods or headers (but for the attempt's id), and keeps nothing over a restart.
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
		readJSON(ctx, &s.fault) // changes the named fields
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
