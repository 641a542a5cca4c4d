package standin

import (
	"context"
	"math/rand/v2"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/engine"
	"github.com/ryeford/ryeford/settings"
)

const (
	defaultStep       = 5200 * time.Microsecond
	defaultSlots      = 16
	defaultCacheChats = 1000
	prefillPerStep    = 64 // tokens of a prompt that one step takes in
	loadReportEvery   = 200 * time.Millisecond
)

// An EngineFault is what is wrong with an engine.
type EngineFault struct {
	// Times is how many runs the fault affects; zero is all until it is
	// cleared.
	Times int `json:"times"`
	// StallAfter stops to send after so many tokens.
	StallAfter int `json:"stall_after"`
	// DieAfter cuts the connection after so many tokens, and loses the run.
	DieAfter int `json:"die_after"`
	// ErrorAfter sends an error event after so many tokens.
	ErrorAfter int `json:"error_after"`
	// Finish ends an answer early with another finish reason.
	Finish      ryeford.FinishReason `json:"finish"`
	FinishAfter int                  `json:"finish_after"`
	// Disorder sends events out of order, repeated, and of other attempts.
	Disorder bool `json:"disorder"`
	// DropLoads is the part of load reports that are lost.
	DropLoads float64 `json:"drop_loads"`
	// EventGap leaves out every so-many-th cache event.
	EventGap int `json:"event_gap"`
	// EventDelayMS holds each cache event back.
	EventDelayMS int `json:"event_delay_ms"`
	// Refuse answers 503 to completions.
	Refuse bool `json:"refuse"`
	// DelayMS delays the start of each run.
	DelayMS int `json:"delay_ms"`
}

// EngineCounts is what an engine counts of itself.
type EngineCounts struct {
	Runs    []RunRecord `json:"runs"`
	Orders  []int64     `json:"orders"` // epochs, as they came
	Refused []int64     `json:"refused_orders"`
	Peak    int         `json:"peak"` // the most that ran and waited at once
}

// An engineServer stands in for a model engine.
type engineServer struct {
	step     time.Duration
	loadTime time.Duration
	fences   bool
	slots    slots

	mu       sync.Mutex
	fault    EngineFault
	affected int
	cache    *promptCache
	runs     map[ryeford.AttemptID]*run
	records  map[ryeford.AttemptID]int // into counts.Runs
	counts   EngineCounts
	serving  ryeford.Order
	loading  []ryeford.Pool
	report   ryeford.EngineLoad
	reported time.Time
}

// newEngine returns an engineServer.
func newEngine(s *settings.StandinEngine) *engineServer {
	e := &engineServer{
		step:     s.Step,
		loadTime: s.LoadTime,
		fences:   s.ChecksFences,
		runs:     make(map[ryeford.AttemptID]*run),
		records:  make(map[ryeford.AttemptID]int),
		serving:  ryeford.Order{Pools: s.Pools},
	}
	if e.step == 0 {
		e.step = defaultStep
	}
	e.slots.free = s.Slots
	if s.Slots == 0 {
		e.slots.free = defaultSlots
	}
	limit := s.CacheChats
	if limit == 0 {
		limit = defaultCacheChats
	}
	e.cache = newPromptCache(limit)
	return e
}

// serve implements handler.
func (e *engineServer) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == PathFault:
		e.setFault(ctx)
	case path == PathRuns:
		e.mu.Lock()
		defer e.mu.Unlock()
		writeJSON(ctx, &e.counts)
	case path == engine.PathLoad:
		e.load(ctx)
	case path == engine.PathEvents:
		e.cacheEvents(ctx)
	case path == engine.PathServing:
		e.order(ctx)
	case strings.HasPrefix(path, engine.PathCache):
		e.cacheContent(ctx, strings.TrimPrefix(path, engine.PathCache))
	case path == engine.PathCompletions && ctx.IsPost():
		e.complete(ctx)
	case strings.HasPrefix(path, engine.PathCompletions+"/"):
		e.attempt(ctx, ryeford.AttemptID(strings.TrimPrefix(path, engine.PathCompletions+"/")))
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// setFault sets the fault anew.
func (e *engineServer) setFault(ctx *fasthttp.RequestCtx) {
	var fault EngineFault
	if !readJSON(ctx, &fault) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
	e.affected = 0
}

// complete starts a run and streams its answer.
func (e *engineServer) complete(ctx *fasthttp.RequestCtx) {
	var request engine.CompletionRequest
	if !readJSON(ctx, &request) {
		return
	}
	r := newRun(
		ryeford.AttemptID(ctx.Request.Header.Peek(engine.HeaderAttempt)),
		ryeford.ChatID(ctx.Request.Header.Peek(engine.HeaderChat)),
		request,
	)
	status := e.begin(r)
	if status != fasthttp.StatusOK {
		ctx.Error("refused", status)
		return
	}
	go e.generate(r)
	e.stream(ctx, r, 0)
}

// begin notes a run, and returns the HTTP status that fits.
func (e *engineServer) begin(r *run) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Refuse {
		return fasthttp.StatusServiceUnavailable
	}
	if !e.serves(r.request.Model) {
		return fasthttp.StatusNotFound
	}
	if _, ok := e.runs[r.attempt]; ok {
		return fasthttp.StatusConflict
	}
	r.affected = e.fault.Times == 0 || e.affected < e.fault.Times
	if r.affected {
		e.affected++
	}
	e.runs[r.attempt] = r
	e.records[r.attempt] = len(e.counts.Runs)
	e.counts.Runs = append(e.counts.Runs, RunRecord{
		Attempt: string(r.attempt),
		Chat:    string(r.chat),
		At:      time.Now(),
	})
	return fasthttp.StatusOK
}

// serves reports whether a pool of this name is loaded.
func (e *engineServer) serves(name string) bool {
	for _, pool := range e.serving.Pools {
		if pool.String() == name {
			return true
		}
	}
	return false
}

// generate runs a request in the batch.
func (e *engineServer) generate(r *run) {
	defer e.noteEnd(r)
	e.notePeak()
	err := e.slots.acquire(r.ctx, r.request.Priority)
	if err != nil {
		r.append(errorEvent(r, "cancelled"), true)
		return
	}
	defer e.slots.release()
	fault := e.faultOf(r)
	e.sleep(r.ctx, time.Duration(fault.DelayMS)*time.Millisecond)
	prompt := promptText(r.request.Messages)
	usage := e.prefill(r, prompt)
	e.decode(r, prompt, &fault, usage)
}

// notePeak notes the most that ran and waited at once.
func (e *engineServer) notePeak() {
	running, waiting := e.slots.counts()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Peak = max(e.counts.Peak, running+waiting+1)
}

// noteEnd notes when a run ended.
func (e *engineServer) noteEnd(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Runs[e.records[r.attempt]].End = time.Now()
}

// faultOf returns the fault that affects a run.
func (e *engineServer) faultOf(r *run) EngineFault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !r.affected {
		return EngineFault{}
	}
	return e.fault
}

// prefill takes the prompt in; what is cached takes no time.
func (e *engineServer) prefill(r *run, prompt string) *ryeford.Usage {
	e.mu.Lock()
	cached := e.cache.cached(r.chat, prompt)
	e.counts.Runs[e.records[r.attempt]].Cached = cached
	e.mu.Unlock()
	usage := &ryeford.Usage{PromptTokens: countTokens(prompt), CachedTokens: cached}
	steps := (usage.PromptTokens - cached + prefillPerStep - 1) / prefillPerStep
	e.sleep(r.ctx, time.Duration(steps)*e.step)
	return usage
}

// decode makes the answer, a token a step.
func (e *engineServer) decode(r *run, prompt string, fault *EngineFault, usage *ryeford.Usage) {
	tokens := r.request.MaxTokens
	if tokens == 0 {
		tokens = DefaultTokens
	}
	tag := answerTag(r.chat, r.request.Messages)
	text := r.request.Prefix
	for i := countTokens(text); i < tokens; i++ {
		e.sleep(r.ctx, e.step)
		switch {
		case r.ctx.Err() != nil:
			r.append(errorEvent(r, "cancelled"), true)
			return
		case fault.StallAfter > 0 && i >= fault.StallAfter:
			<-r.ctx.Done()
			return
		case fault.ErrorAfter > 0 && i >= fault.ErrorAfter:
			r.append(errorEvent(r, "inference backend unavailable"), true)
			return
		case fault.Finish != "" && i >= fault.FinishAfter:
			r.append(finishEvent(r, fault.Finish, usage), true)
			return
		}
		token := answerToken(tag, i)
		text += token
		usage.CompletionTokens++
		r.append(tokenEvent(r, token), false)
	}
	e.mu.Lock()
	e.cache.store(r.chat, prompt+"assistant\n"+text+"\n")
	e.mu.Unlock()
	r.append(finishEvent(r, ryeford.FinishStop, usage), true)
}

// sleep waits for d or until the run is cancelled.
func (e *engineServer) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// stream sends a run's events from an index on.
func (e *engineServer) stream(ctx *fasthttp.RequestCtx, r *run, index int) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStream(&eventStream{engine: e, run: r, fault: e.faultOf(r), index: index}, -1)
}

// lose forgets a run, as an engine does that restarts.
func (e *engineServer) lose(r *run) {
	r.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs, r.attempt)
}

// attempt serves a run that was started before.
func (e *engineServer) attempt(ctx *fasthttp.RequestCtx, id ryeford.AttemptID) {
	e.mu.Lock()
	r := e.runs[id]
	e.mu.Unlock()
	if r == nil {
		ctx.Error("no such attempt", fasthttp.StatusNotFound)
		return
	}
	if ctx.IsDelete() {
		r.cancel()
		return
	}
	_, offset, err := engine.ParseEventID(string(ctx.Request.Header.Peek(engine.HeaderLastEvent)))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.stream(ctx, r, int(offset+1))
}

// load answers the last load report.
func (e *engineServer) load(ctx *fasthttp.RequestCtx) {
	running, waiting := e.slots.counts()
	e.mu.Lock()
	defer e.mu.Unlock()
	if rand.Float64() < e.fault.DropLoads {
		ctx.Error("lost", fasthttp.StatusServiceUnavailable)
		return
	}
	if time.Since(e.reported) > loadReportEvery {
		e.report = ryeford.EngineLoad{Running: running, Waiting: waiting}
		e.reported = time.Now()
	}
	writeJSON(ctx, &e.report)
}

// cacheEvents answers the cache events after a sequence number.
func (e *engineServer) cacheEvents(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	events := make([]ryeford.CacheEvent, 0)
	delay := time.Duration(e.fault.EventDelayMS) * time.Millisecond
	for _, noted := range e.cache.events[min(int(after), len(e.cache.events)):] {
		event := noted.event
		if time.Since(noted.at) < delay {
			break
		}
		if e.fault.EventGap > 0 && event.Sequence%int64(e.fault.EventGap) == 0 {
			continue
		}
		events = append(events, event)
	}
	writeJSON(ctx, events)
}

// cacheContent exports or imports a chat's KV cache.
func (e *engineServer) cacheContent(ctx *fasthttp.RequestCtx, escaped string) {
	name, err := url.PathUnescape(escaped)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.IsPut() {
		e.cache.store(ryeford.ChatID(name), string(ctx.PostBody()))
		return
	}
	text, ok := e.cache.text(ryeford.ChatID(name))
	if !ok {
		ctx.Error("not cached", fasthttp.StatusNotFound)
		return
	}
	ctx.SetBodyString(text)
}

// order answers what is served, or takes an order.
func (e *engineServer) order(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !ctx.IsPost() {
		writeJSON(ctx, &e.serving)
		return
	}
	var order ryeford.Order
	if !readJSON(ctx, &order) {
		return
	}
	if e.fences && order.Epoch < e.serving.Epoch {
		e.counts.Refused = append(e.counts.Refused, order.Epoch)
		ctx.Error("fenced", fasthttp.StatusPreconditionFailed)
		return
	}
	e.counts.Orders = append(e.counts.Orders, order.Epoch)
	e.serving.Epoch = order.Epoch
	e.loading = order.Pools
	time.AfterFunc(e.loadTime, func() { e.loaded(order) })
}

// loaded ends a load, unless a later order took its place.
func (e *engineServer) loaded(order ryeford.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.serving.Epoch == order.Epoch {
		e.serving.Pools = order.Pools
	}
}

func tokenEvent(r *run, token string) engine.CompletionChunk {
	return engine.CompletionChunk{
		ID:      string(r.attempt),
		Choices: []engine.Choice{{Delta: engine.Delta{Content: token}}},
	}
}

func finishEvent(r *run, reason ryeford.FinishReason, usage *ryeford.Usage) engine.CompletionChunk {
	return engine.CompletionChunk{
		ID:      string(r.attempt),
		Choices: []engine.Choice{{FinishReason: reason}},
		Usage:   usage,
	}
}

func errorEvent(r *run, message string) engine.CompletionChunk {
	return engine.CompletionChunk{
		ID:    string(r.attempt),
		Error: &engine.CompletionError{Type: "server_error", Message: message},
	}
}
