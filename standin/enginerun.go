package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/engine"
	"github.com/ryeford/ryeford/internal/clock"
)

// generate runs a request once a slot is free.
func (e *engineServer) generate(r *run) {
	defer e.recordEnd(r)
	if !e.slots.acquire(r.ctx, r.request.Priority) {
		r.fail("cancelled")
		return
	}
	defer e.slots.release()
	fault := e.faultFor(r)
	clock.Sleep(r.ctx, time.Duration(fault.DelayMS)*time.Millisecond)
	prompt := promptText(r.request.Messages)
	usage := e.prefill(r, prompt)
	e.decode(r, prompt, &fault, usage)
}

func (e *engineServer) recordEnd(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Runs[r.record].End = time.Now()
}

// faultFor returns the fault that affects a run.
func (e *engineServer) faultFor(r *run) EngineFault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !r.affected {
		return EngineFault{}
	}
	return e.fault
}

// prefill plays the processing of the prompt. Cached tokens take no time.
func (e *engineServer) prefill(r *run, prompt string) *ryeford.Usage {
	e.mu.Lock()
	cached := e.cache.cached(r.chat, prompt)
	e.mu.Unlock()
	usage := &ryeford.Usage{PromptTokens: countTokens(prompt), CachedTokens: cached}
	steps := (usage.PromptTokens - cached + prefillPerStep - 1) / prefillPerStep
	clock.Sleep(r.ctx, time.Duration(steps)*e.step)
	return usage
}

// decode generates the answer, one token per step, and ends it early if the fault requires it.
func (e *engineServer) decode(r *run, prompt string, fault *EngineFault, usage *ryeford.Usage) {
	tokens := cmp.Or(r.request.MaxTokens, defaultTokens)
	tag := answerTag(r.chat, r.request.Messages)
	text := r.request.Prefix
	for i := countTokens(text); i < tokens; i++ {
		clock.Sleep(r.ctx, e.step)
		if endEarly(r, i, fault, usage) {
			return
		}
		token := answerToken(tag, i)
		text += token
		usage.CompletionTokens++
		r.append(r.tokenEvent(token), false)
	}
	e.mu.Lock()
	e.cache.store(r.chat, prompt+"assistant\n"+text+"\n")
	e.mu.Unlock()
	r.finish(ryeford.FinishStop, usage)
}

// endEarly ends a run that is cancelled or that its fault ends before the i-th token. It reports
// whether it ended the run.
func endEarly(r *run, i int, fault *EngineFault, usage *ryeford.Usage) bool {
	switch {
	case r.ctx.Err() != nil:
		r.fail("cancelled")
	case fault.StallAfter > 0 && i >= fault.StallAfter:
		<-r.ctx.Done()
	case fault.ErrorAfter > 0 && i >= fault.ErrorAfter:
		r.fail("inference backend unavailable")
	case fault.Finish != "" && i >= fault.FinishAfter:
		r.finish(fault.Finish, usage)
	default:
		return false
	}
	return true
}

// A run is one attempt that an engine accepted. It keeps all events of its answer, so that the
// answer can be read starting at any event.
type run struct {
	attempt  ryeford.AttemptID
	chat     ryeford.ChatID
	request  engine.CompletionRequest
	cancel   context.CancelFunc
	ctx      context.Context
	admitted time.Time // by an agent; zero if unknown
	affected bool      // by the fault
	record   int       // index in EngineCounts.Runs

	mu      sync.Mutex
	events  []engine.CompletionChunk
	done    bool
	changed chan struct{} // closed and replaced when an event is appended
}

// newRun parses a completion request.
func newRun(ctx *fasthttp.RequestCtx) (*run, error) {
	header := &ctx.Request.Header
	r := &run{
		attempt: ryeford.AttemptID(header.Peek(engine.HeaderAttempt)),
		chat:    ryeford.ChatID(header.Peek(engine.HeaderChat)),
		changed: make(chan struct{}),
	}
	if err := json.Unmarshal(ctx.PostBody(), &r.request); err != nil {
		return nil, err
	}
	if start := header.Peek(engine.HeaderStart); len(start) > 0 {
		var err error
		if r.admitted, err = engine.ParseStart(string(start)); err != nil {
			return nil, err
		}
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r, nil
}

func (r *run) tokenEvent(token string) engine.CompletionChunk {
	choice := engine.Choice{Delta: engine.Delta{Content: token}}
	return engine.CompletionChunk{ID: string(r.attempt), Choices: []engine.Choice{choice}}
}

func (r *run) finish(reason ryeford.FinishReason, usage *ryeford.Usage) {
	choices := []engine.Choice{{FinishReason: reason}}
	r.append(engine.CompletionChunk{ID: string(r.attempt), Choices: choices, Usage: usage}, true)
}

func (r *run) fail(message string) {
	failure := &engine.CompletionError{Type: "server_error", Message: message}
	r.append(engine.CompletionChunk{ID: string(r.attempt), Error: failure}, true)
}

func (r *run) append(event engine.CompletionChunk, last bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
	r.done = r.done || last
	close(r.changed)
	r.changed = make(chan struct{})
}

// eventsFrom returns the events starting at an index, whether the run is done, and a channel that
// is closed when there are more events.
func (r *run) eventsFrom(index int) ([]engine.CompletionChunk, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[min(index, len(r.events)):], r.done, r.changed
}

// slots limits the number of concurrent requests. A free slot goes to the waiting request with the
// highest priority.
type slots struct {
	mu      sync.Mutex
	free    int
	waiting []*waiter // the highest priority first
}

type waiter struct {
	priority int
	ready    chan struct{} // closed when the waiter has a slot
}

// acquire waits for a slot. It reports false if ctx is done before.
func (s *slots) acquire(ctx context.Context, priority int) bool {
	w := &waiter{priority: priority, ready: make(chan struct{})}
	s.mu.Lock()
	lower := func(i int) bool { return s.waiting[i].priority < priority }
	s.waiting = slices.Insert(s.waiting, sort.Search(len(s.waiting), lower), w)
	s.grant()
	s.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		s.abandon(w)
		return false
	}
}

// abandon removes a waiter, or releases the slot that it was granted in the meantime.
func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiting, w); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return
	}
	s.free++
	s.grant()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free++
	s.grant()
}

// grant gives free slots to the first waiters. s.mu is held.
func (s *slots) grant() {
	for s.free > 0 && len(s.waiting) > 0 {
		s.free--
		close(s.waiting[0].ready)
		s.waiting = s.waiting[1:]
	}
}
