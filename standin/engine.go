package standin

import (
	"cmp"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/engine"
	"github.com/ryeford/ryeford/settings"
)

// What an engine is like unless its settings say otherwise. The figures set the scale
// of trials; they were not measured on a real engine.
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

// serve serves a request.
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
	e.fault = fault
	e.affected = 0
}

// writeRuns answers with the runs.
func (e *engineServer) writeRuns(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(ctx, &e.counts)
}
