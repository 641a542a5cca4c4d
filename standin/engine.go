package standin

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/engine"
	"github.com/ryeford/ryeford/settings"
)

// What an engine is like unless its settings say otherwise. The figures set the scale
// of trials.
const (
	defaultStep       = 5200 * time.Microsecond // for one token of an answer
	defaultSlots      = 16                      // requests that run at once
	defaultCacheChats = 1000                    // chats whose prompts are cached
	// prefillPerStep is how many tokens of a prompt one step takes in.
	prefillPerStep = 64
)

// An engineServer plays a model engine: completions as event streams that may be
// joined again and cancelled, a cache of prompts with its events, and orders to load
// pools. Its answers are computed from the prompt (see Answer), so that a caller can
// tell its own.
//
// It plays time by the step: a token takes one, a prompt one for each prefillPerStep
// tokens that are not cached, whatever the load. It does not play a model, memory,
// or batches that slow each other down; and nothing of it outlives its process.
type engineServer struct {
	step     time.Duration
	loadTime time.Duration // from an order to load pools until they serve
	fences   bool          // refuses orders of an epoch that is past
	slots    slots

	mu       sync.Mutex
	fault    EngineFault
	affected int // runs that the fault has affected
	cache    *promptCache
	runs     map[ryeford.AttemptID]*run
	counts   EngineCounts
	serving  ryeford.Order
}

func newEngine(s *settings.StandinEngine) *engineServer {
	return &engineServer{
		step:     cmp.Or(s.Step, defaultStep),
		loadTime: s.LoadTime,
		fences:   s.ChecksFences,
		slots:    slots{free: cmp.Or(s.Slots, defaultSlots)},
		cache:    newPromptCache(cmp.Or(s.CacheChats, defaultCacheChats)),
		runs:     make(map[ryeford.AttemptID]*run),
		serving:  ryeford.Order{Pools: s.Pools},
	}
}

func (e *engineServer) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == PathFault:
		e.setFault(ctx)
	case path == PathRuns:
		e.writeRuns(ctx)
	case path == engine.PathEvents:
		e.cacheEvents(ctx)
	case path == engine.PathServing:
		e.order(ctx)
	case strings.HasPrefix(path, engine.PathCache):
		e.cacheContent(ctx, ryeford.ChatID(strings.TrimPrefix(path, engine.PathCache)))
	case path == engine.PathCompletions && ctx.IsPost():
		e.complete(ctx)
	case strings.HasPrefix(path, engine.PathCompletions+"/"):
		e.attempt(ctx, ryeford.AttemptID(strings.TrimPrefix(path, engine.PathCompletions+"/")))
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// setFault takes a fault. It replaces the whole fault.
func (e *engineServer) setFault(ctx *fasthttp.RequestCtx) {
	var fault EngineFault
	if !readJSON(ctx, &fault) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault, e.affected = fault, 0
}

func (e *engineServer) writeRuns(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(ctx, &e.counts)
}

// An EngineFault is what is wrong with an engine. Its zero value is no fault. Counts
// of tokens are those of an answer from its beginning, whichever engine made them.
type EngineFault struct {
	// Times is how many runs the fault affects; zero is all until it is
	// cleared.
	Times int `json:"times"`
	// StallAfter sends nothing more after so many tokens, and leaves the run open.
	StallAfter int `json:"stall_after"`
	// DieAfter cuts the connection after so many tokens, and loses the run, as an
	// engine does that crashes.
	DieAfter int `json:"die_after"`
	// ErrorAfter sends an error event after so many tokens.
	ErrorAfter int `json:"error_after"`
	// Finish ends an answer after FinishAfter tokens with another finish reason.
	Finish      ryeford.FinishReason `json:"finish"`
	FinishAfter int                  `json:"finish_after"`
	// Disorder sends events out of order, repeated, and of other attempts.
	Disorder bool `json:"disorder"`
	// Refuse answers 503 to completions.
	Refuse bool `json:"refuse"`
	// RetryAfterS is the Retry-After of those answers, in seconds; none if it is zero.
	RetryAfterS int `json:"retry_after_s"`
	// DelayMS delays the start of each run, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// order answers with what is served, or takes an order to load pools.
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
		ctx.Error("fenced", fasthttp.StatusPreconditionFailed)
		return
	}
	e.serving.Epoch = order.Epoch
	time.AfterFunc(e.loadTime, func() { e.loaded(order) })
}

// loaded makes the pools of an order serve, unless a later order took its place.
func (e *engineServer) loaded(order ryeford.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.serving.Epoch == order.Epoch {
		e.serving.Pools = order.Pools
	}
}

func (e *engineServer) serves(name string) bool {
	return slices.ContainsFunc(e.serving.Pools, func(p ryeford.Pool) bool { return p.String() == name })
}

// cacheEvents answers with the cache events after a sequence number.
func (e *engineServer) cacheEvents(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(ctx, e.cache.events[min(int(after), len(e.cache.events)):])
}

// cacheContent exports or imports a chat's KV cache.
func (e *engineServer) cacheContent(ctx *fasthttp.RequestCtx, chat ryeford.ChatID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.IsPut() {
		e.cache.store(chat, string(ctx.PostBody()))
		return
	}
	text, ok := e.cache.text(chat)
	if !ok {
		ctx.Error("not cached", fasthttp.StatusNotFound)
		return
	}
	ctx.SetBodyString(text)
}
